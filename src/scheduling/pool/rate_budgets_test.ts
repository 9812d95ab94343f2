import fc from "fast-check";
import { describe, expect, test } from "vitest";
import type { ServiceId, UpstreamId } from "../../core/id.ts";
import { SECOND_MS, type Timestamp } from "../../core/time.ts";
import type { RateShare } from "./rate_budget.ts";
import { RateBudgets } from "./rate_budgets.ts";

const E1 = "e1" as UpstreamId;
const E2 = "e2" as UpstreamId;
const WINDOW_MS = 4_000;
const PLACER: RateShare = { type: "placer", fraction: 1 };

function at(ms: number): Timestamp {
  return ms as Timestamp;
}

function budgets(
  perSecond: number,
  share: RateShare = PLACER,
  ids: readonly UpstreamId[] = [E1],
): RateBudgets {
  const created = RateBudgets.create();
  const rates = new Map(ids.map((id) => [id, perSecond]));
  created.update(rates, share, at(0));
  return created;
}

/** Times at which requests are sent, if one is ready to be sent every `stepMs`. */
function sendTimes(rates: RateBudgets, untilMs: number, stepMs = 5) {
  const times: number[] = [];
  for (let now = 0; now < untilMs; now += stepMs) {
    if (!rates.isOpen(E1, at(now))) continue;
    rates.charge(E1, at(now));
    times.push(now);
  }
  return times;
}

function mostInWindow(times: readonly number[]): number {
  return Math.max(
    0,
    ...times.map((from) =>
      times.filter((time) => time >= from && time < from + WINDOW_MS).length
    ),
  );
}

test("an upstream without a rate is open, and is not counted", () => {
  const rates = budgets(1);
  rates.charge(E2, at(0), 100);
  expect(rates.isOpen(E2, at(0))).toBe(true);
  expect(rates.open([{ id: E1 }, { id: E2 }], at(0))).toEqual([{ id: E2 }]);
});

test("a daemon that places for all uses the whole rate, and no more than what the platform allows", () => {
  fc.assert(
    fc.property(fc.double({ min: 0.2, max: 200, noNaN: true }), (perSecond) => {
      const times = sendTimes(budgets(perSecond), 12_000);
      const allowed = 1.5 * perSecond * WINDOW_MS / SECOND_MS + 5;
      expect(mostInWindow(times)).toBeLessThanOrEqual(allowed);
      expect(times.length).toBeGreaterThan(0.9 * perSecond * 12 - 2);
    }),
    { seed: 1, numRuns: 60 },
  );
});

test("what others have sent is counted, and debt is bounded", () => {
  const rates = budgets(2);
  rates.charge(E1, at(1_000), 3);
  expect(rates.isOpen(E1, at(1_500))).toBe(false);
  expect(rates.isOpen(E1, at(3_000))).toBe(true);
  rates.charge(E1, at(3_000), 1_000_000);
  expect(rates.isOpen(E1, at(9_000))).toBe(true);
});

test("a budget is empty after a take-over, and keeps what it has when its rate or share changes", () => {
  const rates = budgets(1, { type: "solo", daemons: 5, self: "vm" });
  rates.update(new Map([[E1, 1]]), PLACER, at(5_000));
  expect(rates.isOpen(E1, at(5_900))).toBe(false);
  rates.update(new Map([[E1, 2]]), PLACER, at(6_000));
  expect(rates.isOpen(E1, at(6_000))).toBe(true);
  rates.charge(E1, at(6_000));
  rates.update(
    new Map([[E1, 2]]),
    { type: "placer", fraction: 0.5 },
    at(6_000),
  );
  expect(rates.isOpen(E1, at(6_100))).toBe(false);
  rates.update(new Map(), PLACER, at(6_200));
  expect(rates.isOpen(E1, at(6_200))).toBe(true);
});

describe("daemons that can't reach each other", () => {
  test.each([[9, 1], [40, 4], [195, 1.4], [195, 0.5]])(
    "%d together keep near a rate of %d a second",
    (daemons, perSecond) => {
      const times = Array.from({ length: daemons }, (_, i) => {
        const self = `vm-${i}`;
        const share = { type: "solo", daemons, self } as const;
        return sendTimes(budgets(perSecond, share), 30_000, 20);
      }).flat();
      const allowed = 1.5 * perSecond * WINDOW_MS / SECOND_MS + 5;
      expect(mostInWindow(times)).toBeLessThanOrEqual(allowed);
      expect(times.length).toBeGreaterThan(0.6 * perSecond * 30);
    },
  );
});

describe("a split prompt", () => {
  test("takes no upstream with a rate, unless all have one", () => {
    const rates = budgets(1);
    const members = [{ id: E1 }, { id: E2 }];
    expect(rates.openForSplit(members, at(2_000))).toEqual([{ id: E2 }]);
    const both = budgets(1, PLACER, [E1, E2]);
    expect(both.openForSplit(members, at(2_000))).toEqual([{ id: E1 }]);
    expect(both.openForSplit(members, at(100))).toEqual([]);
  });
});

describe("Retry-After", () => {
  const caller = { service: "pool" as ServiceId, leftMs: 5_000 };

  test("tells refused callers times at which each finds a free request", () => {
    const rates = budgets(2, PLACER, [E1, E2]);
    const members = [{ id: E1 }, { id: E2 }];
    const returns = Array.from(
      { length: 12 },
      () => rates.nextRetryMs(members, { ...caller, now: at(100) }) + 100,
    );
    expect(new Set(returns).size).toBe(returns.length);
    for (const now of returns) {
      const [first] = rates.open(members, at(now));
      expect(first).toBeDefined();
      rates.charge(first!.id, at(now));
    }
  });

  test("of callers that can't return in time takes no time from others", () => {
    const rates = budgets(0.5);
    const members = [{ id: E1 }];
    const late = { ...caller, leftMs: 1_000, now: at(0) };
    expect(rates.nextRetryMs(members, late)).toBe(2_000);
    expect(rates.nextRetryMs(members, late)).toBe(2_000);
    expect(rates.nextRetryMs(members, { ...caller, now: at(0) })).toBe(2_000);
    expect(rates.nextRetryMs(members, { ...caller, now: at(0) })).toBe(4_000);
  });

  test("is not set by upstreams without a rate", () => {
    expect(budgets(1).nextRetryMs([{ id: E2 }], { ...caller, now: at(0) }))
      .toBe(0);
  });
});
