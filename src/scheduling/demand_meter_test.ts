import fc from "fast-check";
import { expect, test } from "vitest";
import type { Timestamp } from "../core/time.ts";
import { DemandMeter } from "./demand_meter.ts";

const WINDOW_MS = 10_000;

test("the meter equals a decayed sum over all work so far", () => {
  const work = fc.record({
    waitMs: fc.nat(20_000),
    costMs: fc.nat(500),
  });
  fc.assert(
    fc.property(
      fc.array(work, { maxLength: 50 }),
      fc.nat(9_000),
      (all, end) => {
        const meter = DemandMeter.create(WINDOW_MS);
        let now = 1_000_000;
        const seen = all.map(({ waitMs, costMs }) => {
          now += waitMs;
          meter.add(costMs, now as Timestamp);
          return { at: now, costMs };
        });
        now += end;
        const expected = seen.reduce(
          (sum, item) =>
            sum + item.costMs * Math.exp((item.at - now) / WINDOW_MS),
          0,
        ) / WINDOW_MS;
        expect(meter.busyEngines(now as Timestamp)).toBeCloseTo(expected, 9);
      },
    ),
    { seed: 6, numRuns: 200 },
  );
});
