import { expect, test } from "vitest";
import type { Timestamp } from "../../src/core/time.ts";
import { LogStore } from "./log_store.ts";

const CFG = {
  retentionMs: 1_000,
  maxRecords: 3,
  recordsPerSecond: 10,
  maxStreams: 2,
};

function at(ms: number): Timestamp {
  return ms as Timestamp;
}

function offsetsOf(store: LogStore, now: number, from: number) {
  return store.read(at(now), "s", { from, limit: 100 })
    .map((batch) => batch.records.map((record) => record.offset));
}

test("records expire by age and by count, and a read below them is gone", () => {
  const store = LogStore.create(CFG);
  expect(store.append(at(0), "s", ["a", "b"])._unsafeUnwrap()).toBe(0);
  expect(store.append(at(500), "s", ["c", "d"])._unsafeUnwrap()).toBe(2);
  expect(offsetsOf(store, 500, 1)._unsafeUnwrap()).toEqual([1, 2, 3]);
  expect(offsetsOf(store, 1_200, 1)._unsafeUnwrapErr())
    .toEqual({ code: "gone", firstOffset: 2 });
  expect(offsetsOf(store, 9_000, 4)._unsafeUnwrap()).toEqual([]);
  expect(store.append(at(9_000), "s", ["e"])._unsafeUnwrap()).toBe(4);
  store.expireBelow("s", 5);
  expect(store.extents()).toEqual({ s: { first_offset: 5, end_offset: 5 } });
});

test("the append rate and the number of streams are limited", () => {
  const store = LogStore.create(CFG);
  const twenty = Array.from({ length: 20 }, () => "x");
  store.append(at(0), "s", twenty);
  expect(store.append(at(0), "s", ["y"])._unsafeUnwrapErr())
    .toEqual({ code: "rate_limited", retryAfterMs: 1_100 });
  expect(store.append(at(1_100), "s", ["y"])._unsafeUnwrap()).toBe(20);
  store.append(at(9_000), "t", ["z"]);
  expect(store.append(at(9_000), "u", ["z"])._unsafeUnwrapErr())
    .toEqual({ code: "too_many_streams" });
});
