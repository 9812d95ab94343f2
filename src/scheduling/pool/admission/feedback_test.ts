import { describe, expect, test } from "vitest";
import type { Timestamp } from "../../../core/time.ts";
import { placementRequest } from "../../../testing/pool_fixtures.ts";
import type { JobId } from "../pool_job.ts";
import { PredictionError } from "./prediction_error.ts";
import { RefusedCallers } from "./refused_callers.ts";
import { SizeBalance } from "./size_balance.ts";

const NOW = 10_000 as Timestamp;

test("the margin of predictions follows late first events, within bounds", () => {
  const predictions = PredictionError.create();
  const margins = [0, 0, 40, 40, 200].map((errorMs) => {
    for (let i = 0; i < 50; i += 1) {
      const job = `j${i}` as JobId;
      predictions.expect(job, NOW);
      predictions.seen(job, (NOW + errorMs) as Timestamp);
    }
    return [
      Number(predictions.marginMs.toFixed(1)),
      Math.round(predictions.meanMs),
    ];
  });
  expect(margins).toMatchInlineSnapshot(`
    [
      [
        15,
        0,
      ],
      [
        15,
        0,
      ],
      [
        33.8,
        37,
      ],
      [
        40,
        40,
      ],
      [
        58.8,
        188,
      ],
    ]
  `);
});

describe("sizes", () => {
  const sizes = SizeBalance.create();
  const of = (promptTokens: number) =>
    placementRequest("a", { promptTokens, targetMs: 3_000 });
  test("that are served much less often than their kind are behind", () => {
    for (let i = 0; i < 10; i += 1) {
      sizes.decided(of(100_000), i % 5 > 0, NOW);
      sizes.decided(of(400_000), i % 5 === 0, NOW);
    }
    const other = { ...of(400_000), targetMs: 1_500 };
    expect([of(100_000), of(400_000), other].map((ask) => sizes.isBehind(ask)))
      .toEqual([false, true, false]);
  });
});

describe("a refused caller", () => {
  const later = (ms: number) => (NOW + ms) as Timestamp;
  test("is known when it comes again with its deadline, unlike another one with the same content", () => {
    const callers = RefusedCallers.create();
    callers.refused({ digest: "a", leftMs: 10_000 }, NOW);
    callers.refused({ digest: "a", leftMs: 9_000 }, later(1_000));
    const waited = [
      { digest: "a", leftMs: 8_000 },
      { digest: "a", leftMs: 10_000 },
      { digest: "b", leftMs: 8_000 },
    ].map((caller) => callers.waitedMs(caller, later(2_000)));
    expect(waited).toEqual([2_000, 0, 0]);
  });
});

test("first events that never come are awaited up to a number", () => {
  const predictions = PredictionError.create();
  for (let i = 0; i < 10_000; i += 1) {
    predictions.expect(`j${i}` as JobId, 0 as Timestamp);
  }
  expect(predictions.awaited).toBe(4_096);
});
