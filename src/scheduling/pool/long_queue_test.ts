import fc from "fast-check";
import { describe, expect, test } from "vitest";
import type { Timestamp } from "../../core/time.ts";
import { backlogMs, orderQueue, type QueuedPrompt } from "./long_queue.ts";
import type { JobId } from "./pool_job.ts";

const CAPACITY = { engines: 10, now: 0 as Timestamp };

function queued(
  job: string,
  prefillMs: number,
  fields: { dueAt?: number; timeoutAt?: number; weight?: number } = {},
): QueuedPrompt {
  return {
    job: job as JobId,
    prefillMs: prefillMs,
    dueAt: (fields.dueAt ?? 3_000) as Timestamp,
    timeoutAt: (fields.timeoutAt ?? 12_000) as Timestamp,
    weight: fields.weight ?? prefillMs,
  };
}

function namesOf(prompts: readonly QueuedPrompt[]): string[] {
  return prompts.map((prompt) => prompt.job);
}

describe("order of queued long prompts", () => {
  test("is earliest due first while all can meet their target", () => {
    const prompts = [
      queued("b", 5_000, { dueAt: 2_000 }),
      queued("a", 5_000, { dueAt: 1_000 }),
      queued("c", 5_000, { dueAt: 3_000 }),
    ];
    expect(namesOf(orderQueue(prompts, CAPACITY))).toEqual(["a", "b", "c"]);
  });

  test("puts only the prompt with the lowest weight for its prefill last if not all can meet their target", () => {
    const prompts = [
      queued("giant", 25_000, { dueAt: 2_000, weight: 268 }),
      queued("b", 8_000, { dueAt: 2_100, weight: 180 }),
      queued("c", 8_000, { dueAt: 2_200, weight: 180 }),
    ];
    expect(namesOf(orderQueue(prompts, CAPACITY))).toEqual(["b", "c", "giant"]);
  });

  test("puts a late prompt first shortly before its caller times out", () => {
    const prompts = [
      queued("late", 10_000, { dueAt: -5_000, timeoutAt: 1_500 }),
      queued("b", 8_000),
    ];
    expect(namesOf(orderQueue(prompts, CAPACITY))).toEqual(["late", "b"]);
  });

  test("contains every prompt exactly once", () => {
    const generated = fc.array(
      fc.record({
        prefillMs: fc.integer({ min: 200, max: 50_000 }),
        dueAt: fc.integer({ min: -2_000, max: 4_000 }),
        weight: fc.integer({ min: 1, max: 700 }),
      }),
      { maxLength: 20 },
    );
    fc.assert(
      fc.property(generated, (all) => {
        const prompts = all.map((prompt, i) =>
          queued(`w${i}`, prompt.prefillMs, { ...prompt, timeoutAt: 60_000 })
        );
        const order = orderQueue(prompts, CAPACITY);
        expect([...namesOf(order)].sort()).toEqual(namesOf(prompts).sort());
      }),
      { seed: 7 },
    );
  });
});

test("the backlog is divided by the number of engines", () => {
  expect(backlogMs([queued("a", 5_000), queued("b", 3_000)], CAPACITY)).toBe(
    800,
  );
});
