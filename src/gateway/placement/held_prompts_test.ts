import { expect, test } from "vitest";
import type { PromptPartId, ServiceId, UpstreamId } from "../../core/id.ts";
import type { Millis } from "../../core/time.ts";
import type { JobId, PoolJob } from "../../scheduling/pool/pool_job.ts";
import {
  type FakeGateway,
  FakeGatewayFleet,
} from "../../testing/fake_gateway_fleet.ts";
import { ReplyCursor } from "../../testing/reply_cursor.ts";
import { emptyServing, upstreamEntry } from "../../testing/gateway_values.ts";
import { ENGINE_PACE, placementRequest } from "../../testing/pool_fixtures.ts";

const SETTLE_MS = 6_000;
const HELD_MS = 60_000;
const ENGINES = ["e1", "e2", "e3", "e4"];

/** A fleet whose engines hold beginnings for `heldMs`; not beyond a request if undefined. */
function startFleet(heldMs: Millis | undefined): FakeGatewayFleet {
  const fleet = FakeGatewayFleet.create(4);
  const id = "pool" as ServiceId;
  const pace = heldMs === undefined ? ENGINE_PACE : { ...ENGINE_PACE, heldMs };
  const service = { id, maxConnections: Infinity, pace };
  fleet.publish({ ...emptyServing(1), services: new Map([[id, service]]) });
  for (const engine of ENGINES) {
    fleet.register({ type: "entry", entry: upstreamEntry(engine) });
  }
  fleet.time.run(SETTLE_MS);
  return fleet;
}

function leaderOf(fleet: FakeGatewayFleet): FakeGateway {
  const { leader } = fleet.gateways[0]!.core.board.members;
  return fleet.gateways.find(({ card }) => card.vm === leader)!;
}

const replies = ReplyCursor.create();

/** Places a prompt whose beginning has this name, through the daemon; returns its job, and what this saves. */
function place(
  fleet: FakeGatewayFleet,
  gateway: FakeGateway,
  options: Readonly<{ job: string; beginning?: string }>,
): PoolJob & Readonly<{ savedMs: Millis }> {
  const { job, beginning = "common" } = options;
  const ask = placementRequest(job, {
    vm: gateway.card.vm,
    leadingParts: [{ id: beginning as PromptPartId, tokens: 4_000 }],
  });
  fleet.step(gateway, [{ type: "place", ask }]);
  fleet.time.run(50);
  const [reply] = replies.next(gateway);
  if (reply?.type !== "granted") throw new Error("Not granted");
  const { grant } = reply;
  return { ...grant.job, savedMs: Math.round(grant.savedMs ?? 0) };
}

function progress(
  fleet: FakeGatewayFleet,
  gateway: FakeGateway,
  job: PoolJob,
  phase: "started" | "ended",
): void {
  const { id, upstream } = job;
  fleet.step(gateway, [{ type: "job", job: id as JobId, upstream, phase }]);
  fleet.time.run(20);
}

/** Places of prompts that follow one whose answer runs, without and with the same beginning. */
function placesAfterFirst(fleet: FakeGatewayFleet, gateway: FakeGateway) {
  const first = place(fleet, gateway, { job: "first" });
  progress(fleet, gateway, first, "started");
  const other = place(fleet, gateway, { job: "other", beginning: "other" });
  progress(fleet, gateway, other, "ended");
  const same = place(fleet, gateway, { job: "same" });
  progress(fleet, gateway, same, "ended");
  return { first, other, same };
}

test("the placing daemon counts on what the engines hold, and a prompt's daemon needn't be it", () => {
  const fleet = startFleet(HELD_MS);
  const gateway = fleet.gateways.find((one) => one !== leaderOf(fleet))!;
  const { first, other, same } = placesAfterFirst(fleet, gateway);
  expect([first.savedMs, other.savedMs, same.savedMs]).toEqual([0, 0, 24]);
  expect(same.upstream).toBe(first.upstream);
  const saved = leaderOf(fleet).lines.filter(({ kind }) => kind === "place")
    .map(({ fields }) => fields.saved_ms);
  expect(saved).toEqual([undefined, undefined, 24]);
});

test("another daemon that places knows it from the jobs that run", () => {
  const fleet = startFleet(HELD_MS);
  const leader = leaderOf(fleet);
  const [gateway] = fleet.gateways.filter((one) => one !== leader);
  const { first } = placesAfterFirst(fleet, gateway!);
  fleet.remove(leader);
  fleet.time.run(SETTLE_MS);
  const later = place(fleet, gateway!, { job: "later" });
  expect(later.upstream).toBe(first.upstream);
  expect(later.savedMs).toBe(24);
});

test("an engine whose process was replaced holds nothing", () => {
  const fleet = startFleet(HELD_MS);
  const gateway = fleet.gateways.find((one) => one !== leaderOf(fleet))!;
  const { first } = placesAfterFirst(fleet, gateway);
  progress(fleet, gateway, first, "ended");
  const entry = upstreamEntry(first.upstream as UpstreamId, { startedAt: 2 });
  fleet.register({ type: "entry", entry });
  fleet.time.run(1_000);
  expect(place(fleet, gateway, { job: "later" }).savedMs).toBe(0);
});

test("without it in the configuration, messages and placements stay as they are", () => {
  const fleet = startFleet(undefined);
  const gateway = fleet.gateways.find((one) => one !== leaderOf(fleet))!;
  const { first, same } = placesAfterFirst(fleet, gateway);
  expect(first).not.toHaveProperty("leadingParts");
  expect(same.savedMs).toBe(0);
});
