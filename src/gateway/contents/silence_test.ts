import { beforeEach, describe, expect, test } from "vitest";
import type { UpstreamId } from "../../core/id.ts";
import type { JobId } from "../../scheduling/pool/pool_job.ts";
import {
  type FakeGateway,
  FakeGatewayFleet,
} from "../../testing/fake_gateway_fleet.ts";
import { emptyServing, upstreamEntry } from "../../testing/gateway_values.ts";
import { placementRequest } from "../../testing/pool_fixtures.ts";
import type { GatewayEvent } from "../gateway_event.ts";

const E1 = "e1" as UpstreamId;
const JOB = "j1" as JobId;
/** Time until the daemons have found each other and read the register. */
const SETTLE_MS = 6_000;

let fleet: FakeGatewayFleet;
let leader: FakeGateway;
let other: FakeGateway;

type JobEvent = Extract<GatewayEvent, { type: "job" }>;

/** Reports of the daemon that sent the request, which reach the others. */
function report(fields: Pick<JobEvent, "phase"> & Partial<JobEvent>): void {
  fleet.step(other, [{ type: "job", job: JOB, upstream: E1, ...fields }]);
  fleet.time.run(10);
}

function reportSilence(): void {
  const content = { digest: "c", outcome: "silent", ranMs: 1_200 } as const;
  report({ phase: "started", silence: "begun", content });
}

function failures(): number {
  const { tracker } = leader.core.board.pool.scheduler;
  return tracker.loadOf(E1).recentFailures(fleet.time.now);
}

function crashes(): number {
  return leader.core.board.contents.suspects.crashes("c");
}

beforeEach(() => {
  fleet = FakeGatewayFleet.create(4);
  fleet.publish(emptyServing(1));
  fleet.register({ type: "entry", entry: upstreamEntry("e1") });
  fleet.time.run(SETTLE_MS);
  const { leader: vm } = fleet.gateways[0]!.core.board.members;
  leader = fleet.gateways.find(({ card }) => card.vm === vm)!;
  other = fleet.gateways.find(({ card }) => card.vm !== vm)!;
  const ask = placementRequest(JOB, { vm: other.card.vm });
  fleet.step(other, [{ type: "place", ask }]);
  fleet.time.run(10);
});

describe("a silent upstream whose job goes on", () => {
  test("counts as failed, and its job is not forgotten", () => {
    reportSilence();
    expect(failures()).toBeGreaterThan(0.9);
    const { jobs } = leader.core.board.pool.scheduler.tracker;
    expect(jobs.get(JOB)).toMatchObject({ writing: false });
  });

  test("counts as failed once, though the job ends during the silence", () => {
    reportSilence();
    report({ phase: "failed", silence: "lasting" });
    expect(failures()).toBeLessThanOrEqual(1);
    expect(failures()).toBeGreaterThan(0.9);
    expect(leader.core.board.pool.scheduler.tracker.jobs.size).toBe(0);
  });

  test("is sound once it is heard again", () => {
    reportSilence();
    report({ phase: "started", silence: "ended" });
    expect(failures()).toBe(0);
    fleet.register({ type: "gone", id: E1 });
    fleet.time.run(2_000);
    expect(crashes()).toBe(0);
  });

  test("has crashed with its content if its entry lapses", () => {
    reportSilence();
    fleet.register({ type: "gone", id: E1 });
    fleet.time.run(2_000);
    expect(crashes()).toBe(1);
  });

  test("has crashed once, though its connection breaks after it was restarted", () => {
    reportSilence();
    const entry = { ...upstreamEntry("e1"), startedAt: 5_000 };
    fleet.register({ type: "entry", entry });
    fleet.time.run(900);
    const content = { digest: "c", outcome: "disconnected" } as const;
    report({ phase: "failed", content });
    expect(crashes()).toBe(1);
  });
});
