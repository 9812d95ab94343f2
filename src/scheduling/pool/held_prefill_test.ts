import { describe, expect, test } from "vitest";
import type { PromptPartId, UpstreamId } from "../../core/id.ts";
import type { Timestamp } from "../../core/time.ts";
import {
  ENGINE_PACE,
  placementRequest,
  poolJob,
} from "../../testing/pool_fixtures.ts";
import { type EnginePace, prefillMs } from "./engine_pace.ts";
import type { PoolMember } from "./pool_grant.ts";
import { PoolScheduler } from "./pool_scheduler.ts";

const HELD_MS = 10_000;
const PACE: EnginePace = { ...ENGINE_PACE, heldMs: HELD_MS };
const MEMBERS: readonly PoolMember[] = Array.from({ length: 4 }, (_, i) => ({
  id: `e${i}` as UpstreamId,
  address: `e${i}:1`,
  domain: "a",
  slots: ENGINE_PACE.slots,
}));
const HOLDER = "e2" as UpstreamId;
/** Part of a prompt of 5,000 tokens that others have in common, and what its prefill takes. */
const COMMON_TOKENS = 4_000;
const COMMON_MS = prefillMs(PACE, COMMON_TOKENS);

function at(ms: number): Timestamp {
  return (20_000 + ms) as Timestamp;
}

function askOf(job: string, beginning = "common") {
  return placementRequest(job, {
    leadingParts: [
      { id: beginning as PromptPartId, tokens: COMMON_TOKENS },
      { id: job as PromptPartId, tokens: 1_000 },
    ],
  });
}

/** Places a prompt; returns its engine, and the prefill time that this is expected to save. */
function place(
  scheduler: PoolScheduler,
  ms: number,
  options: Readonly<{ job?: string; beginning?: string; pace?: EnginePace }> =
    {},
) {
  const { job = `j${ms}`, beginning, pace = PACE } = options;
  const ask = askOf(job, beginning);
  const decision = scheduler.submit({ ask, members: MEMBERS, pace }, at(ms))!;
  const { job: placed, savedMs = 0 } = decision.result._unsafeUnwrap();
  return { upstream: placed.upstream, savedMs: Math.round(savedMs) };
}

/** A scheduler in which the holder answered a prompt with the common beginning until 0 ms. */
function withHolder(): PoolScheduler {
  const scheduler = PoolScheduler.create();
  const { leadingParts } = askOf("first");
  const job = poolJob("first", HOLDER, { leadingParts: leadingParts! });
  scheduler.tracker.add(job, at(-500));
  scheduler.started(job.id, at(-450));
  scheduler.withdraw(job.id, at(0));
  return scheduler;
}

/** Lets an engine have prefill to do for this long. */
function occupy(scheduler: PoolScheduler, ms: number, tokens = 0): void {
  const job = poolJob("busy", HOLDER, { partMs: ms, tokens, kind: "call" });
  scheduler.tracker.add(job, at(0));
}

const ELSEWHERE = { upstream: "e0", savedMs: 0 };

describe("the engine that holds the beginning of a prompt", () => {
  test("gets it while the wait there is shorter than what is saved", () => {
    const scheduler = withHolder();
    expect(place(scheduler, 0)).toEqual({
      upstream: HOLDER,
      savedMs: Math.round(COMMON_MS),
    });
    const busy = withHolder();
    occupy(busy, COMMON_MS / 2);
    expect(place(busy, 0, { pace: { ...PACE, stepMs: 0 } }).upstream)
      .toBe(HOLDER);
  });

  test("doesn't get it when the wait there is longer", () => {
    const scheduler = withHolder();
    occupy(scheduler, 2 * COMMON_MS);
    expect(place(scheduler, 0)).toEqual(ELSEWHERE);
  });

  test("doesn't get it when memory is short, as the beginning is evicted", () => {
    const scheduler = withHolder();
    occupy(scheduler, 0, PACE.memoryTokens - 10_000);
    expect(place(scheduler, 0).savedMs).toBe(0);
    expect(place(scheduler, 1).upstream).not.toBe(HOLDER);
  });

  test("doesn't get it when all its slots are taken", () => {
    const scheduler = withHolder();
    for (let i = 0; i < PACE.slots; i += 1) {
      const job = poolJob(`busy-${i}`, HOLDER, { partMs: 0, tokens: 0 });
      scheduler.tracker.add(job, at(0));
    }
    expect(place(scheduler, 0)).toEqual(ELSEWHERE);
  });

  test("is preferred the less the longer the beginning wasn't used", () => {
    const waits = [0, 0.25, 0.5, 0.75, 0.99, 1].map((age) => {
      const scheduler = withHolder();
      const { upstream, savedMs } = place(scheduler, age * HELD_MS);
      return `${age}: ${upstream}, ${savedMs} ms saved`;
    });
    expect(waits).toMatchInlineSnapshot(`
      [
        "0: e2, 24 ms saved",
        "0.25: e2, 18 ms saved",
        "0.5: e2, 12 ms saved",
        "0.75: e2, 6 ms saved",
        "0.99: e2, 0 ms saved",
        "1: e0, 0 ms saved",
      ]
    `);
  });

  test("isn't preferred after its process was replaced", () => {
    const scheduler = withHolder();
    scheduler.tracker.loadOf(HOLDER).held.clear();
    expect(place(scheduler, 0)).toEqual(ELSEWHERE);
  });

  test("isn't preferred for another beginning, or where engines hold none", () => {
    expect(place(withHolder(), 0, { beginning: "other" })).toEqual(ELSEWHERE);
    expect(place(withHolder(), 0, { pace: ENGINE_PACE })).toEqual(ELSEWHERE);
  });

  test("is none that has not read it, or has read it in parts with others", () => {
    const scheduler = PoolScheduler.create();
    const { leadingParts } = askOf("x");
    const unread = poolJob("unread", HOLDER, { leadingParts: leadingParts! });
    const helpers = ["e3" as UpstreamId];
    const split = poolJob("split", "e1", {
      leadingParts: leadingParts!,
      helpers,
    });
    for (const job of [unread, split]) scheduler.tracker.add(job, at(-900));
    scheduler.started(split.id, at(-500));
    for (const job of [unread, split]) scheduler.withdraw(job.id, at(0));
    expect(place(scheduler, 0)).toEqual(ELSEWHERE);
  });
});

/** Places prompts of one beginning at one moment; returns how many each engine got. */
function placeBurst(count: number, pace: EnginePace) {
  const scheduler = withHolder();
  const placed: Record<UpstreamId, number> = {};
  for (let i = 0; i < count; i += 1) {
    const { upstream } = place(scheduler, 0, { job: `burst-${i}`, pace });
    placed[upstream] = (placed[upstream] ?? 0) + 1;
  }
  return placed;
}

test("a hot beginning heaps no more of its prompts on one engine than are placed there without it", () => {
  const bursts = [2, 4, 8, 12, 16, 24].map((count) => {
    const held = placeBurst(count, PACE);
    const without = placeBurst(count, ENGINE_PACE);
    expect(Math.max(...Object.values(held)))
      .toBeLessThanOrEqual(Math.max(...Object.values(without)));
    return [held, without].map((placed) => JSON.stringify(placed)).join(" / ");
  });
  expect(bursts).toMatchInlineSnapshot(`
    [
      "{"e2":2} / {"e0":2}",
      "{"e2":3,"e0":1} / {"e0":3,"e1":1}",
      "{"e2":3,"e0":3,"e1":2} / {"e0":3,"e1":3,"e2":2}",
      "{"e2":3,"e0":3,"e1":3,"e3":3} / {"e0":3,"e1":3,"e2":3,"e3":3}",
      "{"e2":4,"e0":4,"e1":4,"e3":4} / {"e0":4,"e1":4,"e2":4,"e3":4}",
      "{"e2":6,"e0":6,"e1":6,"e3":6} / {"e0":6,"e1":6,"e2":6,"e3":6}",
    ]
  `);
});
