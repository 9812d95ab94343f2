import { expect, test } from "vitest";
import type { ServiceId, TeamId } from "../../core/id.ts";
import type { PlacementRequest } from "../../scheduling/pool/pool_job.ts";
import {
  type FakeGateway,
  FakeGatewayFleet,
} from "../../testing/fake_gateway_fleet.ts";
import { emptyServing, upstreamEntry } from "../../testing/gateway_values.ts";
import { ENGINE_PACE, placementRequest } from "../../testing/pool_fixtures.ts";

const SERVICE = "pool" as ServiceId;
const LARGE = "large" as TeamId;
const SMALL = "small" as TeamId;
const SETTLE_MS = 6_000;

/** Daemons of one service with two engines and two teams. */
function startedFleet(count: number): FakeGatewayFleet {
  const fleet = FakeGatewayFleet.create(count);
  const service = { id: SERVICE, maxConnections: Infinity, pace: ENGINE_PACE };
  fleet.publish({
    ...emptyServing(1),
    services: new Map([[SERVICE, service]]),
    teams: [LARGE, SMALL].map((id) => ({ id, keys: [`key of ${id}`] })),
  });
  for (const id of ["e1", "e2"]) {
    fleet.register({ type: "entry", entry: upstreamEntry(id) });
  }
  fleet.time.run(SETTLE_MS);
  return fleet;
}

/** The daemon that leads, its deputy, and one that is neither. */
function rolesOf(fleet: FakeGatewayFleet): readonly FakeGateway[] {
  const { leader, deputy } = fleet.gateways[0]!.core.board.members;
  const find = (vm: unknown) =>
    fleet.gateways.find((gateway) => gateway.card.vm === vm)!;
  const other = fleet.gateways.find(({ card }) =>
    card.vm !== leader && card.vm !== deputy
  );
  return [find(leader), find(deputy), other!];
}

function place(
  fleet: FakeGatewayFleet,
  gateway: FakeGateway,
  fields: Partial<PlacementRequest> & { id: string },
): void {
  const ask = placementRequest(fields.id, { vm: gateway.card.vm, ...fields });
  fleet.step(gateway, [{ type: "place", ask }]);
}

/** Lines of placement decisions, as far as they concern teams and returns. */
function placeLines(gateway: FakeGateway) {
  return gateway.lines.filter(({ kind }) => kind === "place").map(
    ({ fields }) => fields,
  );
}

test("a caller who was told to return is admitted by the deputy once the leader is gone", () => {
  const fleet = startedFleet(4);
  const [leader, deputy, other] = rolesOf(fleet);
  for (let i = 0; i < 30; i += 1) {
    place(fleet, other!, { id: `j${i}`, team: LARGE });
  }
  fleet.time.run(20);
  const { req, told_ms: toldMs, refused } = placeLines(leader!)
    .findLast((line) => line.booked === true)!;
  expect(refused).toBe("deadline_unreachable");
  fleet.time.run(600);
  fleet.remove(leader!);
  fleet.time.run(Math.max(0, Number(toldMs) - 600));
  const leftMs = 10_000 - Math.max(620, 20 + Number(toldMs));
  place(fleet, other!, { id: "again", digest: String(req), leftMs });
  fleet.time.run(400);
  expect(placeLines(deputy!).at(-1)).toMatchObject({ due: true });
  const replies = other!.replies.flatMap((reply) =>
    reply.type === "granted" ? reply.grant.job.id : []
  );
  expect(replies).toContain("again");
});

test("a new leader and deputy know from heartbeats which teams use the engines", () => {
  const fleet = startedFleet(6);
  const [leader, deputy, other] = rolesOf(fleet);
  for (let i = 0; i < 4; i += 1) {
    place(fleet, other!, { id: `l${i}`, team: LARGE });
  }
  place(fleet, other!, { id: "s0", team: SMALL });
  fleet.time.run(20);
  const part = (gateway: FakeGateway) =>
    gateway.core.board.pool.scheduler.rooms.teamParts(fleet.time.now)
      .get(LARGE);
  expect(part(leader!)).toBeCloseTo(0.8);
  expect(part(deputy!)).toBeCloseTo(0.8);
  fleet.remove(leader!);
  fleet.remove(deputy!);
  fleet.time.run(3_000);
  const [next] = rolesOf(fleet);
  expect(next).not.toBe(deputy);
  expect(part(next!)).toBeCloseTo(0.8);
});
