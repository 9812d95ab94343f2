import { expect, test } from "vitest";
import type { Timestamp } from "../../core/time.ts";
import { GatewayStep } from "../gateway_controller.ts";
import type { StoreEra } from "./store_position.ts";
import { StoreReader } from "./store_reader.ts";

const TIMING = { waitMs: 600, minGapMs: 450 };

/** A reader at offset 40 of era 1, with the offsets of the reads that it starts. */
function startedReader() {
  const store = { era: 1 as StoreEra, restoredAt: 0 as Timestamp };
  const reader = StoreReader.create("register");
  let now = 1_000;
  const poll = () => {
    now += TIMING.minGapMs;
    const step = GatewayStep.create(now as Timestamp, []);
    reader.poll(step, store, TIMING);
    return step.intents.flatMap((one) => one.type === "read" ? [one.from] : []);
  };
  const answer = (era: number | undefined, next: number) => {
    const step = GatewayStep.create(now as Timestamp, []);
    const read = { next, era: era as StoreEra | undefined };
    const position = reader.succeeded(step, read, store);
    reader.poll(step, store, TIMING);
    const restarts = step.intents.some((one) =>
      one.type === "read" && one.from === undefined
    );
    return { position, restarts };
  };
  poll();
  answer(1, 40);
  return { store, poll, answer };
}

test("an answer of a newer era to a read at an offset was taken for its continuation", () => {
  const { store, poll, answer } = startedReader();
  expect(poll()).toEqual([40]);
  store.era = 2 as StoreEra;
  expect(answer(2, 43)).toEqual({ position: undefined, restarts: true });
  expect(answer(2, 43).position).toEqual({ era: 2, offset: 43 });
});

test.each([40, 55])(
  "an answer of an older era that arrives late was taken for the newest state, offset %i",
  (next) => {
    const { store, poll, answer } = startedReader();
    expect(poll()).toEqual([40]);
    store.era = 2 as StoreEra;
    expect(answer(1, next)).toEqual({ position: undefined, restarts: true });
  },
);

test("a reader whose topic another one has seen restored went on at its old offset", () => {
  const { store, poll } = startedReader();
  store.era = 2 as StoreEra;
  expect(poll()).toEqual([undefined]);
});

test("answers of a store that names no era are read as before", () => {
  const { poll, answer } = startedReader();
  expect(poll()).toEqual([40]);
  expect(answer(undefined, 41).position).toEqual({ era: 1, offset: 41 });
  expect(poll()).toEqual([41]);
});

test("a store that goes on answering in an older era was read again without a pause", () => {
  const { store, poll, answer } = startedReader();
  expect(poll()).toEqual([40]);
  store.era = 2 as StoreEra;
  answer(1, 40);
  expect(answer(1, 40).restarts).toBe(false);
  expect(poll()).toEqual([undefined]);
});
