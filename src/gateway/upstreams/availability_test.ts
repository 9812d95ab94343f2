import { describe, expect, test } from "vitest";
import type { UpstreamId } from "../../core/id.ts";
import type { Millis } from "../../core/time.ts";
import {
  type FakeGateway,
  FakeGatewayFleet,
} from "../../testing/fake_gateway_fleet.ts";
import { emptyServing, upstreamEntry } from "../../testing/gateway_values.ts";
import type { PlacementRequest } from "../../scheduling/pool/pool_job.ts";
import { placementRequest } from "../../testing/pool_fixtures.ts";
import { closedUpstreams, findClosure } from "./availability.ts";

const SETTLED_MS: Millis = 6_000;
const E1 = "e1" as UpstreamId;
const E2 = "e2" as UpstreamId;
/** More than the upstreams have slots, so that calls are placed on every open upstream. */
const CALL_COUNT = 40;

function startedFleet(): FakeGatewayFleet {
  const fleet = FakeGatewayFleet.create(5);
  fleet.publish(emptyServing(1));
  for (const id of [E1, E2]) {
    fleet.register({ type: "entry", entry: upstreamEntry(id) });
  }
  fleet.time.run(SETTLED_MS);
  return fleet;
}

function gatewaysByRole(fleet: FakeGatewayFleet) {
  const { leader, deputy } = fleet.gateways[0]!.core.board.members;
  const gatewayOf = (vm: unknown) =>
    fleet.gateways.find((gateway) => gateway.card.vm === vm)!;
  const others = fleet.gateways.filter((gateway) =>
    gateway.card.vm !== leader && gateway.card.vm !== deputy
  );
  return { leader: gatewayOf(leader), deputy: gatewayOf(deputy), others };
}

function reportAvailability(
  fleet: FakeGatewayFleet,
  gateway: FakeGateway,
  announced: Readonly<{ leaving?: boolean; backoffMs?: Millis }>,
  upstream = E1,
): void {
  const availability = { leaving: false, ...announced };
  const sentAt = fleet.time.now;
  fleet.step(gateway, [
    { type: "upstream_said", upstream, availability, sentAt },
  ]);
}

/** Sends placement requests as a daemon does; returns the granted upstreams and the refusals. */
function placeCalls(
  fleet: FakeGatewayFleet,
  gateway: FakeGateway,
  options: Readonly<{ closed?: PlacementRequest["closed"] }> = {},
) {
  const firstReply = gateway.replies.length;
  for (let i = 0; i < CALL_COUNT; i += 1) {
    const { board } = gateway.core;
    const ask = placementRequest(`${gateway.card.vm}-${firstReply}-${i}`, {
      vm: gateway.card.vm,
      kind: "call",
      promptTokens: 0,
      leftMs: 2_000,
      closed: options.closed ??
        closedUpstreams(board, upstreamEntry(E1).service, fleet.time.now),
    });
    fleet.step(gateway, [{ type: "place", ask }]);
  }
  fleet.time.run(400);
  const replies = gateway.replies.slice(firstReply);
  return {
    upstreams: new Set(
      replies.flatMap((reply) =>
        reply.type === "granted" ? [reply.grant.job.upstream] : []
      ),
    ),
    refusals: replies.flatMap((reply) =>
      reply.type === "denied" ? [reply.problem] : []
    ),
  };
}

describe("an upstream that announced that it leaves gets no new requests", () => {
  test("from the daemon that got the announcement, even if it is cut off and the register still lists the upstream", () => {
    const fleet = startedFleet();
    const [gateway] = gatewaysByRole(fleet).others;
    gateway!.cut = true;
    reportAvailability(fleet, gateway!, { leaving: true });
    expect(placeCalls(fleet, gateway!).upstreams).toEqual(new Set([E2]));
  });

  test("from any daemon, when a daemon other than the leader got the announcement", () => {
    const fleet = startedFleet();
    const { others } = gatewaysByRole(fleet);
    reportAvailability(fleet, others[0]!, { leaving: true });
    fleet.time.run(10);
    for (const gateway of fleet.gateways) {
      expect(placeCalls(fleet, gateway).upstreams).toEqual(new Set([E2]));
    }
  });

  test("from a daemon without the announcement, once the leader has it", () => {
    const fleet = startedFleet();
    const { leader, others } = gatewaysByRole(fleet);
    reportAvailability(fleet, leader, { leaving: true });
    const { upstreams } = placeCalls(fleet, others[0]!, { closed: [] });
    expect(upstreams).toEqual(new Set([E2]));
  });

  test("when the register is read again and still lists it as ready", () => {
    const fleet = startedFleet();
    reportAvailability(fleet, gatewaysByRole(fleet).others[0]!, {
      leaving: true,
    });
    const entry = upstreamEntry(E1, { slots: 12 });
    fleet.register({ type: "entry", entry });
    fleet.time.run(3_000);
    for (const gateway of fleet.gateways) {
      expect(placeCalls(fleet, gateway).upstreams).toEqual(new Set([E2]));
    }
  });

  test("when the leader changes", () => {
    const fleet = startedFleet();
    const { leader, others } = gatewaysByRole(fleet);
    reportAvailability(fleet, others[0]!, { leaving: true });
    fleet.time.run(10);
    leader.frozen = true;
    fleet.time.run(3_000);
    for (const gateway of others) {
      expect(placeCalls(fleet, gateway).upstreams).toEqual(new Set([E2]));
    }
  });

  test("until it restarts", () => {
    const fleet = startedFleet();
    const [gateway] = gatewaysByRole(fleet).others;
    reportAvailability(fleet, gateway!, { leaving: true });
    const entry = upstreamEntry(E1, { startedAt: 2 });
    fleet.register({ type: "entry", entry });
    fleet.time.run(3_000);
    expect(placeCalls(fleet, gateway!).upstreams).toEqual(new Set([E1, E2]));
  });

  test("when its entry lapses and is listed again", () => {
    const fleet = startedFleet();
    const [gateway] = gatewaysByRole(fleet).others;
    reportAvailability(fleet, gateway!, { leaving: true });
    fleet.register({ type: "gone", id: E1 });
    fleet.time.run(3_000);
    fleet.register({ type: "entry", entry: upstreamEntry(E1) });
    fleet.time.run(3_000);
    expect(placeCalls(fleet, gateway!).upstreams).toEqual(new Set([E2]));
  });

  test("until it restarts, when the announcement came after its entry was gone", () => {
    const fleet = startedFleet();
    const [gateway] = gatewaysByRole(fleet).others;
    fleet.register({ type: "gone", id: E1 });
    fleet.time.run(3_000);
    reportAvailability(fleet, gateway!, { leaving: true });
    fleet.register({
      type: "entry",
      entry: upstreamEntry(E1, { startedAt: 2 }),
    });
    fleet.time.run(3_000);
    expect(placeCalls(fleet, gateway!).upstreams).toEqual(new Set([E1, E2]));
  });

  test("and a late announcement of its previous process does not close the new one", () => {
    const fleet = startedFleet();
    const { leader, others } = gatewaysByRole(fleet);
    others[0]!.cut = true;
    reportAvailability(fleet, others[0]!, { leaving: true });
    const entry = upstreamEntry(E1, { startedAt: 2 });
    fleet.register({ type: "entry", entry });
    fleet.time.run(2_000);
    const from = others[0]!.card.vm;
    const message = { type: "leaving", from, upstream: E1, startedAt: 1 };
    fleet.step(leader, [{ type: "message", message: message as never }]);
    expect(placeCalls(fleet, leader).upstreams).toEqual(new Set([E1, E2]));
  });
});

test("an upstream unknown to this daemon is open; one removed from the register is closed", () => {
  const fleet = startedFleet();
  const { board } = fleet.gateways[0]!.core;
  const { now } = fleet.time;
  expect(findClosure(board, "new" as UpstreamId, now)).toBeUndefined();
  fleet.register({ type: "gone", id: E1 });
  fleet.time.run(3_000);
  expect(findClosure(board, E1, fleet.time.now)?.reason).toBe("gone");
});

describe("an upstream that announced a back-off gets no new requests until its end", () => {
  test("from the daemon that got the back-off, while others keep sending", () => {
    const fleet = startedFleet();
    const { others } = gatewaysByRole(fleet);
    reportAvailability(fleet, others[0]!, { backoffMs: 5_000 });
    expect(placeCalls(fleet, others[0]!).upstreams).toEqual(new Set([E2]));
    expect(placeCalls(fleet, others[1]!).upstreams).toContain(E1);
    fleet.time.run(5_000);
    expect(placeCalls(fleet, others[0]!).upstreams).toContain(E1);
  });

  test("when the leader changes, even if the new leader is the daemon that got the back-off", () => {
    const fleet = startedFleet();
    const { leader, deputy, others } = gatewaysByRole(fleet);
    for (const gateway of [deputy, others[0]!]) {
      reportAvailability(fleet, gateway, { backoffMs: 9_000 });
    }
    leader.frozen = true;
    fleet.time.run(3_000);
    expect(placeCalls(fleet, deputy).upstreams).toEqual(new Set([E2]));
    expect(placeCalls(fleet, others[0]!).upstreams).toEqual(new Set([E2]));
    expect(placeCalls(fleet, others[1]!).upstreams).toContain(E1);
  });

  test("and requests are refused at once with the shortest back-off when all upstreams announced one", () => {
    const fleet = startedFleet();
    const [gateway] = gatewaysByRole(fleet).others;
    reportAvailability(fleet, gateway!, { backoffMs: 5_000 }, E1);
    reportAvailability(fleet, gateway!, { backoffMs: 3_000 }, E2);
    const { upstreams, refusals } = placeCalls(fleet, gateway!);
    expect(upstreams.size).toBe(0);
    expect(refusals).toHaveLength(CALL_COUNT);
    expect(refusals[0]).toMatchObject({
      code: "no_upstream",
      verdict: "not_run",
      retryAfterMs: 3_000,
    });
  });

  test("which a later and shorter announcement doesn't bring forward", () => {
    const fleet = startedFleet();
    const [gateway] = gatewaysByRole(fleet).others;
    reportAvailability(fleet, gateway!, { backoffMs: 5_000 });
    reportAvailability(fleet, gateway!, { backoffMs: 1_000 });
    fleet.time.run(3_000);
    expect(placeCalls(fleet, gateway!).upstreams).toEqual(new Set([E2]));
    fleet.time.run(2_000);
    expect(placeCalls(fleet, gateway!).upstreams).toContain(E1);
  });

  test("unless it restarts", () => {
    const fleet = startedFleet();
    const [gateway] = gatewaysByRole(fleet).others;
    reportAvailability(fleet, gateway!, { backoffMs: 30_000 });
    const entry = upstreamEntry(E1, { startedAt: 2 });
    fleet.register({ type: "entry", entry });
    fleet.time.run(3_000);
    expect(placeCalls(fleet, gateway!).upstreams).toContain(E1);
  });
});
