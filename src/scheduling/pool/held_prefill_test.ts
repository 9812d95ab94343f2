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

/** Places a prompt; returns its engine, and the prefill time that it is placed with. */
function place(
  scheduler: PoolScheduler,
  ms: number,
  options: Readonly<{ job?: string; beginning?: string; pace?: EnginePace }> =
    {},
) {
  const { job = `j${ms}`, beginning, pace = PACE } = options;
  const ask = askOf(job, beginning);
  const decision = scheduler.submit({ ask, members: MEMBERS, pace }, at(ms))!;
  const placed = decision.result._unsafeUnwrap().job;
  return { upstream: placed.upstream, partMs: Math.round(placed.partMs) };
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

const FULL_MS = Math.round(prefillMs(PACE, 5_000));
const ELSEWHERE = { upstream: "e0", partMs: FULL_MS };

describe("the engine that holds the beginning of a prompt", () => {
  test("gets it while the wait there is shorter than what is saved", () => {
    const scheduler = withHolder();
    expect(place(scheduler, 0)).toEqual({
      upstream: HOLDER,
      partMs: Math.round(prefillMs(PACE, 5_000) - COMMON_MS),
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
    expect(place(scheduler, 0).partMs).toBe(FULL_MS);
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
      const { upstream, partMs } = place(scheduler, age * HELD_MS);
      return `${age}: ${upstream}, ${FULL_MS - partMs} ms saved`;
    });
    expect(waits).toMatchInlineSnapshot(`
      [
        "0: e2, 25 ms saved",
        "0.25: e2, 19 ms saved",
        "0.5: e2, 12 ms saved",
        "0.75: e2, 6 ms saved",
        "0.99: e2, 1 ms saved",
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

/** Places prompts of one beginning; returns how many each engine got, and the most that one was ahead of another. */
function placeHotBeginning(pace: EnginePace) {
  const scheduler = PoolScheduler.create();
  const placed: Record<UpstreamId, number> = {};
  let worstAheadMs = 0;
  for (let ms = 0; ms < 1_200; ms += 12) {
    // Each prompt is read within 40 ms, and answered in another 200 ms.
    for (const job of [...scheduler.tracker.jobs.values()]) {
      const ageMs = at(ms) - job.placedAt;
      if (ageMs > 40) scheduler.started(job.id, at(ms));
      if (ageMs > 240) scheduler.withdraw(job.id, at(ms));
    }
    const { upstream } = place(scheduler, ms, { pace });
    placed[upstream] = (placed[upstream] ?? 0) + 1;
    const backlogs = MEMBERS.map(({ id }) =>
      scheduler.tracker.loadOf(id).backlogMs(at(ms))
    );
    const aheadMs = Math.max(...backlogs) - Math.min(...backlogs);
    worstAheadMs = Math.max(worstAheadMs, Math.round(aheadMs));
  }
  return { placed, worstAheadMs };
}

test("one hot beginning doesn't heap its prompts on the engine that holds it", () => {
  const withHolding = placeHotBeginning(PACE);
  const without = placeHotBeginning(ENGINE_PACE);
  expect(withHolding.worstAheadMs).toBeLessThanOrEqual(without.worstAheadMs);
  expect({ withHolding, without }).toMatchInlineSnapshot(`
    {
      "withHolding": {
        "placed": {
          "e0": 39,
          "e1": 33,
          "e2": 28,
        },
        "worstAheadMs": 86,
      },
      "without": {
        "placed": {
          "e0": 28,
          "e1": 39,
          "e2": 33,
        },
        "worstAheadMs": 105,
      },
    }
  `);
});
