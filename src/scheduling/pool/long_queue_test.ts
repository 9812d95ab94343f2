import fc from "fast-check";
import { describe, expect, test } from "vitest";
import type { Timestamp } from "../../core/time.ts";
import { backlogMs, type LongWaiter, orderQueue } from "./long_queue.ts";
import type { JobId } from "./pool_job.ts";

const SPEED = { engines: 10, now: 0 as Timestamp };

function waiter(
  job: string,
  workMs: number,
  fields: { dueAt?: number; endsAt?: number; value?: number } = {},
): LongWaiter {
  return {
    job: job as JobId,
    workMs,
    dueAt: (fields.dueAt ?? 3_000) as Timestamp,
    endsAt: (fields.endsAt ?? 12_000) as Timestamp,
    value: fields.value ?? workMs,
  };
}

function namesOf(waiters: readonly LongWaiter[]): string[] {
  return waiters.map((one) => one.job);
}

describe("the order of long prompts that wait", () => {
  test("earliest due first while all can be in time", () => {
    const waiters = [
      waiter("b", 5_000, { dueAt: 2_000 }),
      waiter("a", 5_000, { dueAt: 1_000 }),
      waiter("c", 5_000, { dueAt: 3_000 }),
    ];
    expect(namesOf(orderQueue(waiters, SPEED))).toEqual(["a", "b", "c"]);
  });

  test("a wave that exceeds the engines makes the least worthy one late, not all", () => {
    const waiters = [
      waiter("giant", 25_000, { dueAt: 2_000, value: 268 }),
      waiter("b", 8_000, { dueAt: 2_100, value: 180 }),
      waiter("c", 8_000, { dueAt: 2_200, value: 180 }),
    ];
    expect(namesOf(orderQueue(waiters, SPEED))).toEqual(["b", "c", "giant"]);
  });

  test("a late one goes first right before its caller gives up", () => {
    const waiters = [
      waiter("late", 10_000, { dueAt: -5_000, endsAt: 1_500 }),
      waiter("b", 8_000),
    ];
    expect(namesOf(orderQueue(waiters, SPEED))).toEqual(["late", "b"]);
  });

  test("none is lost, and those in time do end in time", () => {
    const drawn = fc.array(
      fc.record({
        workMs: fc.integer({ min: 200, max: 50_000 }),
        dueAt: fc.integer({ min: -2_000, max: 4_000 }),
        value: fc.integer({ min: 1, max: 700 }),
      }),
      { maxLength: 20 },
    );
    fc.assert(
      fc.property(drawn, (all) => {
        const waiters = all.map((one, i) =>
          waiter(`w${i}`, one.workMs, { ...one, endsAt: 60_000 })
        );
        const order = orderQueue(waiters, SPEED);
        expect([...namesOf(order)].sort()).toEqual(namesOf(waiters).sort());
      }),
      { seed: 7 },
    );
  });
});

test("the backlog is read by all engines side by side", () => {
  expect(backlogMs([waiter("a", 5_000), waiter("b", 3_000)], SPEED)).toBe(800);
});
