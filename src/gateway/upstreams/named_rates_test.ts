import { describe, expect, test } from "vitest";
import type { UpstreamId } from "../../core/id.ts";
import type { Timestamp } from "../../core/time.ts";
import { NamedRates } from "./named_rates.ts";

const E1 = "e1" as UpstreamId;
const START = 5;

function at(ms: number): Timestamp {
  return ms as Timestamp;
}

function limitedSince(ms: number, perSecond = 2): NamedRates {
  const rates = NamedRates.create();
  rates.recordNamed(E1, START, { perSecond, at: at(ms) });
  return rates;
}

/** A register that lists the upstream, or no longer does. */
function listed(startedAt: number, isGone = false) {
  return { startedAt: () => startedAt, isGone: () => isGone };
}

describe("a rate that an upstream has named", () => {
  test("applies until a request that was sent later is answered without it", () => {
    const rates = limitedSince(1_000);
    expect(rates.get(E1)).toMatchObject({ perSecond: 2, namedAt: 1_000 });
    // The response may have been on its way when the upstream named its rate.
    expect(rates.recordUnnamed(E1, START, at(999))).toBe(false);
    expect(rates.get(E1)).toBeDefined();
    expect(rates.recordUnnamed(E1, START, at(1_001))).toBe(true);
    expect(rates.get(E1)).toBeUndefined();
  });

  test("applies again when it is named again, and changes with its value", () => {
    const rates = limitedSince(1_000);
    rates.recordUnnamed(E1, START, at(1_500));
    rates.recordNamed(E1, START, { perSecond: 3, at: at(2_000) });
    expect(rates.get(E1)?.perSecond).toBe(3);
    rates.recordNamed(E1, START, { perSecond: 7, at: at(2_100) });
    expect(rates.get(E1)?.perSecond).toBe(7);
  });

  test("does not apply to the process that replaces the upstream's", () => {
    const rates = limitedSince(1_000);
    rates.prune(listed(START + 1), at(1_100));
    expect(rates.size).toBe(0);
    rates.recordNamed(E1, START + 1, { perSecond: 9, at: at(1_200) });
    rates.recordNamed(E1, START, { perSecond: 1, at: at(1_300) });
    expect(rates.get(E1)?.perSecond).toBe(9);
  });

  test.each([
    [0, 0.2],
    [0.01, 0.2],
    [99_999, 99_999],
    [100_000, undefined],
    [Infinity, undefined],
  ])("of %d is applied as %s", (perSecond, applied) => {
    expect(limitedSince(1_000, perSecond).get(E1)?.perSecond).toBe(applied);
  });

  test("is kept while a removed entry may be listed again", () => {
    const rates = limitedSince(1_000);
    rates.prune(listed(START, true), at(20_000));
    expect(rates.get(E1)).toBeDefined();
    rates.prune(listed(START), at(90_000));
    expect(rates.get(E1)).toBeDefined();
    rates.prune(listed(START, true), at(90_000));
    expect(rates.size).toBe(0);
  });

  test("ends with a value that is no limit", () => {
    const rates = limitedSince(1_000);
    const huge = { perSecond: Infinity, at: at(1_100) };
    expect(rates.recordNamed(E1, START, huge)).toBe(true);
    expect(rates.get(E1)).toBeUndefined();
  });
});

describe("notices between daemons", () => {
  test("carry a rate and its end, whatever the clocks of the daemons show", () => {
    const rates = limitedSince(1_000);
    const other = NamedRates.create();
    const named = rates.notices(at(1_200))!;
    expect(other.mergeNotices(named, at(70_200))).toEqual([E1]);
    expect(other.get(E1)).toMatchObject({ perSecond: 2, namedAt: 70_000 });
    rates.recordUnnamed(E1, START, at(1_300));
    const ended = rates.notices(at(1_400))!;
    expect(other.mergeNotices(ended, at(70_400))).toEqual([E1]);
    expect(other.get(E1)).toBeUndefined();
  });

  test("that are older than the end of a rate do not restore it", () => {
    const rates = limitedSince(1_000);
    const old = rates.notices(at(1_000))!;
    rates.recordUnnamed(E1, START, at(1_500));
    const late = old.map((notice) => ({ ...notice, namedAgeMs: 600 }));
    expect(rates.mergeNotices(late, at(1_600))).toEqual([]);
    expect(rates.get(E1)).toBeUndefined();
  });

  test("are not sent while no rate is known, and an ended one is forgotten", () => {
    const rates = limitedSince(1_000);
    rates.recordUnnamed(E1, START, at(1_500));
    expect(rates.notices(at(2_000))).toHaveLength(1);
    rates.prune(listed(START), at(40_000));
    expect(rates.notices(at(40_000))).toBeUndefined();
  });
});
