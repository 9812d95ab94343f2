import { describe, expect, test } from "vitest";
import type { DomainId, UpstreamId, VmId } from "../../core/id.ts";
import type { Millis } from "../../core/time.ts";
import {
  type FakeGateway,
  FakeGatewayFleet,
} from "../../testing/fake_gateway_fleet.ts";
import { emptyServing, upstreamEntry } from "../../testing/gateway_values.ts";
import { ENGINE_PACE, placementRequest } from "../../testing/pool_fixtures.ts";

const DAEMONS = 24;
const ENGINES = 60;
const SLOTS = 8;
/** Requests of each VM in a crest: together half as many again as the slots. */
const CREST = Math.ceil(1.5 * ENGINES * SLOTS / DAEMONS);
/** The requests of a crest come within this time, less than it takes to elect another leader. */
const CREST_MS: Millis = 300;
/** Time until a request is placed by its own VM: leader and deputy are asked for 110 ms each. */
const ASKED_MS: Millis = 220;

function startedFleet(): FakeGatewayFleet {
  const fleet = FakeGatewayFleet.create(0);
  const service = {
    id: upstreamEntry("e0").service,
    maxConnections: Infinity,
    pace: { ...ENGINE_PACE, slots: SLOTS },
  };
  const services = new Map([[service.id, service]]);
  fleet.publish({ ...emptyServing(1), services });
  for (let i = 0; i < ENGINES; i += 1) {
    const domain = ["a", "b", "c"][i % 3] as DomainId;
    const entry = upstreamEntry(`e${i}`, { slots: SLOTS, domain });
    fleet.register({ type: "entry", entry });
  }
  for (let i = 0; i < DAEMONS; i += 1) {
    const domain = ["a", "b", "c"][i % 3] as DomainId;
    fleet.add(`vm-${i}`, ["vm-0:1"], { domain });
  }
  fleet.time.run(6_000);
  return fleet;
}

function placersOf(fleet: FakeGatewayFleet): readonly FakeGateway[] {
  const { leader, deputy } = fleet.gateways[0]!.core.board.members;
  return fleet.gateways.filter(({ card }) =>
    [leader, deputy].includes(card.vm)
  );
}

/** Sends short prompts from each VM; returns their answers as of the end of the crest. */
function playCrest(
  fleet: FakeGatewayFleet,
  gateways: readonly FakeGateway[],
): Readonly<{ placed: Map<UpstreamId, number>; refused: number }> {
  for (let i = 0; i < CREST; i += 1) {
    for (const gateway of gateways) {
      const { vm, domain } = gateway.card;
      const ask = placementRequest(`${vm}/${i}`, { vm, domain });
      fleet.step(gateway, [{ type: "place", ask }]);
    }
    fleet.time.run(CREST_MS / CREST);
  }
  fleet.time.run(ASKED_MS + 10);
  const placed = new Map<UpstreamId, number>();
  let refused = 0;
  for (const reply of gateways.flatMap(({ replies }) => replies)) {
    if (reply.type === "denied") refused += 1;
    if (reply.type !== "granted") continue;
    const { upstream } = reply.grant.job;
    placed.set(upstream, (placed.get(upstream) ?? 0) + 1);
  }
  return { placed, refused };
}

describe("in a crest", () => {
  test("leader and deputy die: VMs that place alone admit no more than the engines have slots for", () => {
    const fleet = startedFleet();
    for (const gateway of placersOf(fleet)) fleet.remove(gateway);
    const { placed } = playCrest(fleet, fleet.gateways);
    const total = [...placed.values()].reduce((sum, count) => sum + count, 0);
    expect(total).toBeLessThanOrEqual(ENGINES * SLOTS);
    // The parts of two VMs may share an engine.
    expect(Math.max(...placed.values())).toBeLessThanOrEqual(2 * SLOTS);
    // Each VM may use its part.
    expect(total).toBeGreaterThan(0.8 * ENGINES * SLOTS);
  });

  test("only the leader dies: the deputy places, and knows of what ran before", () => {
    const fleet = startedFleet();
    const { leader } = fleet.gateways[0]!.core.board.members;
    fleet.remove(fleet.gateways.find(({ card }) => card.vm === leader)!);
    const { placed, refused } = playCrest(fleet, fleet.gateways);
    const total = [...placed.values()].reduce((sum, count) => sum + count, 0);
    expect(total + refused).toBe((DAEMONS - 1) * CREST);
    const places = fleet.gateways.flatMap(({ lines }) => lines)
      .filter(({ kind }) => kind === "places_alone");
    expect(places).toEqual([]);
  });

  test("a VM is cut off: it places within its part, and the others place without it", () => {
    const fleet = startedFleet();
    const placers = placersOf(fleet);
    const cutOff = fleet.gateways.find((one) => !placers.includes(one))!;
    cutOff.cut = true;
    const { placed, refused } = playCrest(fleet, [cutOff]);
    const total = [...placed.values()].reduce((sum, count) => sum + count, 0);
    expect(total).toBe(Math.floor(ENGINES * SLOTS / DAEMONS));
    expect(refused).toBe(CREST - total);
  });
});

test("a VM that is the last one is held to its part no longer than its answers are in time", () => {
  const fleet = startedFleet();
  const [last] = fleet.gateways;
  for (const gateway of fleet.gateways.slice(1)) fleet.remove(gateway);
  let placed = 0;
  for (let round = 0; round < 12; round += 1) {
    placed = 0;
    for (let i = 0; i < ENGINES; i += 1) {
      const vm = last!.card.vm as VmId;
      const ask = placementRequest(`${round}/${i}`, { vm, domain: "a" });
      fleet.step(last!, [{ type: "place", ask }]);
    }
    fleet.time.run(250);
    for (const reply of last!.replies.splice(0)) {
      if (reply.type !== "granted") continue;
      placed += 1;
      const { id: job, upstream } = reply.grant.job;
      for (const phase of ["started", "ended"] as const) {
        fleet.step(last!, [{ type: "job", job, upstream, phase }]);
      }
    }
  }
  // Its part is 20 requests.
  expect(placed).toBeGreaterThan(30);
});
