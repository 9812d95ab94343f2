import { expect, test } from "vitest";
import { addMs, type Millis, type Timestamp } from "../../core/time.ts";
import { HeldLimit } from "./held_limit.ts";

const START = 0 as Timestamp;

function limitsOver(limit: HeldLimit, times: readonly Millis[]): Millis[] {
  return times.map((ms) => limit.at(addMs(START, ms)));
}

test("a lowered limit holds on until no client can rely on it", () => {
  const limit = HeldLimit.create(15_000);
  limit.replace(10_000, START);
  expect(limit.nextChangeAt(START)).toBeUndefined();
  limit.replace(2_000, START);
  expect(limit.nextChangeAt(START)).toBe(15_000);
  expect(limitsOver(limit, [0, 14_999, 15_000])).toEqual([
    10_000,
    10_000,
    2_000,
  ]);
});

test("a raised limit holds at once, and a series of changes the longest that may be known", () => {
  const limit = HeldLimit.create(15_000);
  limit.replace(2_000, START);
  limit.replace(20_000, START);
  expect(limit.at(START)).toBe(20_000);
  limit.replace(4_000, START);
  limit.replace(8_000, addMs(START, 1_000));
  expect(limitsOver(limit, [1_000, 24_999, 25_000])).toEqual([
    20_000,
    20_000,
    8_000,
  ]);
});
