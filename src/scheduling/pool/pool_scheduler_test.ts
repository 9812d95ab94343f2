import { describe, expect, test } from "vitest";
import type { ServiceId, TeamId, UpstreamId, VmId } from "../../core/id.ts";
import type { Timestamp } from "../../core/time.ts";
import { ENGINE_PACE, placementRequest } from "../../testing/pool_fixtures.ts";
import type { JobId, PlacementRequest } from "./pool_job.ts";
import type { PoolMember } from "./pool_grant.ts";
import { PoolScheduler } from "./pool_scheduler.ts";

const MEMBERS: readonly PoolMember[] = Array.from({ length: 4 }, (_, i) => ({
  id: `e${i}` as UpstreamId,
  address: `e${i}:1`,
  domain: "a",
  slots: ENGINE_PACE.slots,
}));

function at(ms: number): Timestamp {
  return (10_000 + ms) as Timestamp;
}

/** A placement request for a long prompt, unless `fields` override it. */
function askOf(
  job: string,
  fields: Partial<PlacementRequest> = {},
): PlacementRequest {
  return placementRequest(job, {
    promptTokens: 154_000,
    answerTokens: 800,
    targetMs: 3_000,
    pauseMs: 1_000,
    leftMs: 15_000,
    ...fields,
  });
}

function submit(scheduler: PoolScheduler, ask: PlacementRequest, ms = 0) {
  return scheduler.submit({ ask, members: MEMBERS, pace: ENGINE_PACE }, at(ms));
}

function decide(scheduler: PoolScheduler, ms: number) {
  return scheduler.decide(at(ms), () => MEMBERS)
    .map(({ ask, result }) => [ask.job, result.isOk()]);
}

describe("long prompts", () => {
  test("are queued behind each other and all get placed", () => {
    const scheduler = PoolScheduler.create();
    expect(submit(scheduler, askOf("a"))).toBeUndefined();
    expect(submit(scheduler, askOf("b"))).toBeUndefined();
    expect(decide(scheduler, 0)).toEqual([["a", true]]);
    expect(decide(scheduler, 15)).toEqual([]);
    scheduler.tracker.started("a" as JobId, at(1_100));
    expect(decide(scheduler, 1_100)).toEqual([["b", true]]);
    expect(scheduler.nextPollAt(at(1_100))).toBeUndefined();
  });

  test("that exceed the memory of all engines are refused at once, without a Retry-After", () => {
    const scheduler = PoolScheduler.create();
    const decision = submit(scheduler, askOf("a", { promptTokens: 1_250_000 }));
    const err = decision?.result._unsafeUnwrapErr();
    expect([err?.code, err?.verdict, err?.retryAfterMs])
      .toEqual(["no_memory", "not_run", undefined]);
  });

  test("that even idle engines can't prefill in time are refused at once", () => {
    const scheduler = PoolScheduler.create();
    submit(scheduler, askOf("a", { leftMs: 600 }));
    expect(decide(scheduler, 0)).toEqual([["a", false]]);
  });

  test("wait while engines may become free in time, and are refused when it is too late", () => {
    const scheduler = PoolScheduler.create();
    submit(scheduler, askOf("a", { promptTokens: 250_000 }));
    decide(scheduler, 0);
    submit(scheduler, askOf("b", { leftMs: 3_000 }), 10);
    expect(decide(scheduler, 10)).toEqual([]);
    expect(decide(scheduler, 2_500)).toEqual([["b", false]]);
  });

  test("that can't be prefilled in time behind earlier prompts are refused at once", () => {
    const scheduler = PoolScheduler.create();
    submit(scheduler, askOf("a", { promptTokens: 250_000 }));
    decide(scheduler, 0);
    submit(scheduler, askOf("b", { leftMs: 2_000 }), 10);
    const [decision] = scheduler.decide(at(10), () => MEMBERS);
    const err = decision?.result._unsafeUnwrapErr();
    expect([err?.code, err?.verdict]).toEqual([
      "deadline_unreachable",
      "not_run",
    ]);
    expect(err?.retryAfterMs).toBeGreaterThan(0);
  });

  test("that can still be prefilled in time behind earlier prompts stay queued", () => {
    const scheduler = PoolScheduler.create();
    for (const job of ["a", "b", "c", "d"]) submit(scheduler, askOf(job));
    decide(scheduler, 0);
    expect(scheduler.queueLength).toBe(3);
  });

  test("are placed though their service was dropped, and refused at the next poll once its engines are gone", () => {
    const scheduler = PoolScheduler.create();
    for (const job of ["a", "b", "c"]) submit(scheduler, askOf(job));
    decide(scheduler, 0);
    scheduler.tracker.started("a" as JobId, at(1_100));
    expect(decide(scheduler, 1_100)).toEqual([["b", true]]);
    const [decision] = scheduler.decide(at(1_115), () => []);
    const err = decision?.result._unsafeUnwrapErr();
    expect([decision?.ask.job, err?.code, err?.verdict])
      .toEqual(["c", "no_upstream", "not_run"]);
    expect(scheduler.queueLength).toBe(0);
  });

  test("are ordered by the engines that are left when a failure domain is evacuated", () => {
    const scheduler = PoolScheduler.create();
    submit(scheduler, askOf("late on one engine"));
    submit(scheduler, askOf("in time", { promptTokens: 100_000 }));
    const left = MEMBERS.slice(0, 1);
    const decided = scheduler.decide(at(0), () => left)
      .map(({ ask, result }) => [ask.job, result.isOk()]);
    expect(decided).toEqual([["in time", true]]);
  });

  test("leave the queue when they are withdrawn or their daemon is removed", () => {
    const scheduler = PoolScheduler.create();
    submit(scheduler, askOf("a"));
    submit(scheduler, askOf("b"));
    scheduler.withdraw("a" as JobId, at(1));
    scheduler.removeDaemon("vm" as VmId, at(2));
    expect(scheduler.queueLength).toBe(0);
  });
});

test("a short prompt of a team over its share is refused while another team's is admitted", () => {
  const scheduler = PoolScheduler.create();
  const [large, small] = ["large", "small"].map((id) => id as TeamId);
  scheduler.rooms.configure(
    { teams: [{ id: large! }, { id: small! }], shortestTimeoutMs: 10_000 },
    new Set(["pool" as ServiceId]),
  );
  const place = (job: string, team: TeamId | undefined, ms: number) => {
    const fields = { promptTokens: 5_000, targetMs: 300, team };
    const decision = submit(scheduler, askOf(job, fields), ms);
    return decision!;
  };
  let placed = 0;
  while (place(`l${placed}`, large, 0).result.isOk()) placed += 1;
  const refused = place("s0", small, 1);
  expect(refused.result.isErr()).toBe(true);
  expect(refused.told?.booked).toBe(true);
  // Part of the backlog is prefilled, of which the large team may use less.
  const again = place("l again", large, 40);
  expect(again.result.isErr()).toBe(true);
  expect(again.terms?.factor).toBeLessThan(1);
  expect(place("s1", small, 40).result.isOk()).toBe(true);
});

test("a repeated request for a placed job gets the same upstream", () => {
  const scheduler = PoolScheduler.create();
  const ask = askOf("a", { promptTokens: 5_000, targetMs: 300 });
  const first = submit(scheduler, ask)?.result._unsafeUnwrap();
  const second = submit(scheduler, ask, 50)?.result._unsafeUnwrap();
  expect(second?.job.upstream).toBe(first?.job.upstream);
  expect(scheduler.tracker.jobs.size).toBe(1);
});
