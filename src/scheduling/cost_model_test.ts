import fc from "fast-check";
import { expect, test } from "vitest";
import { CostModel } from "./cost_model.ts";

/** Reference: the cost summed token by token. */
function naiveMs(
  from: number,
  to: number,
  cost: Readonly<{ tokenMs: number; slopeMs: number }>,
): number {
  let sum = 0;
  for (let position = from; position < to; position += 1) {
    sum += cost.tokenMs + cost.slopeMs * (position + 0.5);
  }
  return sum;
}

test("the fitted cost of an unseen length is within 5% of a sum over its tokens", () => {
  fc.assert(
    fc.property(
      fc.double({ min: 0.02, max: 0.5, noNaN: true }),
      fc.double({ min: 0, max: 1e-6, noNaN: true }),
      fc.integer({ min: 1_000, max: 300_000 }),
      (tokenMs, slopeMs, tokens) => {
        const cost = { tokenMs, slopeMs };
        const model = CostModel.create();
        for (let i = 0; i < 2_000; i += 1) {
          const seen = 1_000 + (i * 7_919) % 400_000;
          model.observe(
            0,
            seen,
            naiveMs(0, 1, cost) * seen +
              slopeMs * seen * (seen - 1) / 2,
          );
        }
        const expected = naiveMs(0, tokens, cost);
        const error = Math.abs(model.prefillMs(0, tokens) - expected);
        expect(error / expected).toBeLessThan(0.05);
      },
    ),
    { seed: 6, numRuns: 20 },
  );
});
