import { expect, test } from "vitest";
import type { DomainId, UpstreamId } from "../../core/id.ts";
import type { Millis } from "../../core/time.ts";
import {
  type FakeGateway,
  FakeGatewayFleet,
} from "../../testing/fake_gateway_fleet.ts";
import { emptyServing, upstreamEntry } from "../../testing/gateway_values.ts";
import { placementRequest } from "../../testing/pool_fixtures.ts";

const DOMAINS = ["a", "b", "c"];
const SETTLE_MS: Millis = 6_000;
/** Time until all daemons keep to an evacuation; the platform allows 5 s. */
const EVACUATE_MS: Millis = 5_000;
const CALLS = 12;

/** A fleet with two upstreams in each failure domain, named by the domain. */
function startedFleet(daemons = 8): FakeGatewayFleet {
  const fleet = FakeGatewayFleet.create(daemons);
  fleet.publish(emptyServing(1));
  for (const name of DOMAINS) {
    for (const i of [1, 2]) {
      const domain = name as DomainId;
      const entry = upstreamEntry(`${name}${i}`, { domain });
      fleet.register({ type: "entry", entry });
    }
  }
  fleet.time.run(SETTLE_MS);
  return fleet;
}

let asked = 0;

/** Places calls as one daemon; returns the failure domains of their upstreams. */
function usedDomains(
  fleet: FakeGatewayFleet,
  gateway: FakeGateway,
): ReadonlySet<string> {
  const from = gateway.replies.length;
  for (let i = 0; i < CALLS; i += 1) {
    asked += 1;
    const ask = placementRequest(`call-${asked}`, {
      vm: gateway.card.vm,
      kind: "call",
      promptTokens: 0,
      leftMs: 2_000,
    });
    fleet.step(gateway, [{ type: "place", ask }]);
  }
  fleet.time.run(400);
  const jobs = gateway.replies.slice(from).flatMap((reply) =>
    reply.type === "granted" ? [reply.grant.job] : []
  );
  const ended = jobs.map(({ id, upstream }) => (
    { type: "job", job: id, upstream, phase: "ended" } as const
  ));
  fleet.step(gateway, ended);
  fleet.time.run(10);
  return new Set(jobs.map(({ upstream }) => domainOf(upstream)));
}

function domainOf(upstream: UpstreamId): string {
  return upstream.slice(0, 1);
}

function expectDomains(fleet: FakeGatewayFleet, domains: readonly string[]) {
  for (const gateway of [...fleet.gateways]) {
    expect([...usedDomains(fleet, gateway)].sort()).toEqual(domains);
  }
}

test("an evacuated failure domain gets nothing from any daemon, until it is taken back", () => {
  const fleet = startedFleet();
  expectDomains(fleet, ["a", "b", "c"]);
  fleet.evacuate("b", true);
  fleet.time.run(EVACUATE_MS);
  expectDomains(fleet, ["a", "c"]);
  fleet.evacuate("b", false);
  fleet.time.run(EVACUATE_MS);
  expectDomains(fleet, ["a", "b", "c"]);
});

test("an evacuation is known to daemons that place by themselves", () => {
  const fleet = startedFleet();
  fleet.evacuate("b", true);
  fleet.time.run(EVACUATE_MS);
  for (const gateway of fleet.gateways) gateway.cut = true;
  fleet.time.run(2_000);
  expectDomains(fleet, ["a", "c"]);
});

test("an evacuation reaches daemons that are cut off from the others, but not from the store", () => {
  const fleet = startedFleet();
  const cut = fleet.gateways.at(-1)!;
  cut.cut = true;
  fleet.time.run(3_000);
  fleet.evacuate("b", true);
  fleet.time.run(EVACUATE_MS);
  expect([...usedDomains(fleet, cut)].sort()).toEqual(["a", "c"]);
});

test("an evacuation is known after restarts, also while the store refuses most daemons", () => {
  const fleet = startedFleet();
  fleet.evacuate("b", true);
  fleet.time.run(EVACUATE_MS);
  for (const gateway of [...fleet.gateways]) fleet.restart(gateway);
  fleet.time.run(SETTLE_MS);
  expectDomains(fleet, ["a", "c"]);
  const { leader } = fleet.gateways[0]!.core.board.members;
  for (const gateway of fleet.gateways) {
    gateway.storeRefuses = gateway.card.vm !== leader;
  }
  fleet.evacuate("c", true);
  fleet.evacuate("b", false);
  fleet.time.run(EVACUATE_MS);
  expectDomains(fleet, ["a", "b"]);
});

test("the end of an evacuation is not undone by a daemon that has not heard of it", () => {
  const fleet = startedFleet();
  fleet.evacuate("b", true);
  fleet.time.run(EVACUATE_MS);
  const late = fleet.gateways.at(-1)!;
  late.cut = true;
  late.storeRefuses = true;
  fleet.evacuate("b", false);
  fleet.time.run(EVACUATE_MS);
  late.cut = false;
  late.storeRefuses = false;
  fleet.time.run(EVACUATE_MS);
  expectDomains(fleet, ["a", "b", "c"]);
});

test("requests are refused at once while all failure domains are evacuated", () => {
  const fleet = startedFleet(3);
  for (const domain of DOMAINS) fleet.evacuate(domain, true);
  fleet.time.run(EVACUATE_MS);
  expectDomains(fleet, []);
  const { replies } = fleet.gateways[0]!;
  expect(replies.filter((reply) => reply.type === "denied")).toHaveLength(
    CALLS,
  );
});
