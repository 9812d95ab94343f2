import fc from "fast-check";
import { expect, test } from "vitest";
import type { UpstreamId } from "../core/id.ts";
import {
  cutPrompt,
  planMemory,
  type PlanRequirements,
  type PlanRoom,
} from "./plan.ts";

const rooms = fc.array(fc.integer({ min: 0, max: 40 }), { maxLength: 5 })
  .map((all) =>
    all.map((tokens, i): PlanRoom => ({
      upstream: `e${i}` as UpstreamId,
      tokens,
    }))
  );

const asks = fc.record({
  promptTokens: fc.integer({ min: 1, max: 90 }),
  maxTokens: fc.integer({ min: 1, max: 20 }),
  maxSegments: fc.integer({ min: 1, max: 5 }),
});

/** Reference: the fewest engines that hold the prompt, found by trying all sets of engines. */
function fewestEngines(
  ask: PlanRequirements,
  all: readonly PlanRoom[],
): number {
  let fewest = Infinity;
  for (let set = 1; set < 2 ** all.length; set += 1) {
    const chosen = all.filter((_, i) => (set & (1 << i)) !== 0);
    if (chosen.some(({ tokens }) => tokens === 0)) continue;
    const sum = chosen.reduce((total, { tokens }) => total + tokens, 0);
    const fits = sum >= ask.promptTokens + ask.maxTokens &&
      chosen.length <= ask.promptTokens &&
      chosen.some(({ tokens }) => tokens > ask.maxTokens);
    if (fits) fewest = Math.min(fewest, chosen.length);
  }
  return fewest;
}

test("a prompt is cut into the fewest segments that hold it, or not at all if it does not fit", () => {
  fc.assert(
    fc.property(asks, rooms, (ask, all) => {
      const segments = cutPrompt(ask, all);
      const fewest = fewestEngines(ask, all);
      if (segments === undefined) {
        expect(fewest).toBeGreaterThan(ask.maxSegments);
        return;
      }
      expect(segments.length).toBe(fewest);
      expect(segments[0]!.from).toBe(0);
      expect(segments.at(-1)!.to).toBe(ask.promptTokens);
      for (const [i, { from, to }] of segments.entries()) {
        expect(to).toBeGreaterThan(from);
        if (i > 0) expect(from).toBe(segments[i - 1]!.to);
      }
      for (const { upstream, tokens } of planMemory(segments, ask.maxTokens)) {
        const room = all.find((room) => room.upstream === upstream)!.tokens;
        expect(tokens).toBeLessThanOrEqual(room);
      }
    }),
    { seed: 20_261_204, numRuns: 3_000 },
  );
});

test("memory is reserved in the order of engine ids", () => {
  const segments = ["e3", "e1", "e2"].map((id, i) => ({
    upstream: id as UpstreamId,
    from: i * 10,
    to: (i + 1) * 10,
  }));
  expect(planMemory(segments, 5)).toEqual([
    { upstream: "e1", tokens: 10 },
    { upstream: "e2", tokens: 15 },
    { upstream: "e3", tokens: 10 },
  ]);
});
