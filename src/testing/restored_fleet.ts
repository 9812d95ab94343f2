import type { ServiceId, UpstreamId } from "../core/id.ts";
import type { Millis } from "../core/time.ts";
import { type FakeGateway, FakeGatewayFleet } from "./fake_gateway_fleet.ts";
import { emptyServing, upstreamEntry } from "./gateway_values.ts";

/** Longer than a new fleet takes to settle, and than a store does after a restore. */
export const SETTLE_MS: Millis = 6_000;
/** Time that the platform allows to close a leaving upstream. */
export const DRAIN_MS: Millis = 2_000;
/** Time that the platform allows to apply a new configuration. */
export const APPLY_MS: Millis = 2_000;
/** Time after its return from which the platform holds what the store acknowledges against daemons. */
export const STABLE_MS: Millis = 3_000;
/** Time for which a store is unavailable before it is restored. */
export const DOWN_MS: Millis = 1_000;
/** Longer than the platform's upstreams and the operator take to write again what they wrote. */
export const REWRITTEN_MS: Millis = 2_500;
export const E1 = "e1" as UpstreamId;
export const E2 = "e2" as UpstreamId;
export const E9 = "e9" as UpstreamId;
export const LEAVING = upstreamEntry("e1", { leaving: true });

/** A fleet that knows version 1 and the upstreams e1, e2 and e3. */
export function startedFleet(daemons = 6): FakeGatewayFleet {
  const fleet = FakeGatewayFleet.create(daemons);
  fleet.publish(emptyServing(1));
  for (const id of ["e1", "e2", "e3"]) {
    fleet.register({ type: "entry", entry: upstreamEntry(id) });
  }
  fleet.time.run(SETTLE_MS);
  return fleet;
}

/** Lets other upstreams change their entries `count` times. */
export function writeMore(fleet: FakeGatewayFleet, count: number): void {
  for (let i = 0; i < count; i += 1) {
    const entry = upstreamEntry("e3", { slots: 20 + i % 2 });
    fleet.register({ type: "entry", entry });
    fleet.time.run(100);
  }
}

/** The daemon that the first one follows. */
export function leaderOf(fleet: FakeGatewayFleet): FakeGateway {
  const { leader } = fleet.gateways[0]!.core.board.members;
  return fleet.gateways.find(({ card }) => card.vm === leader)!;
}

/** Distinct values over all daemons. */
export function over<T>(
  fleet: FakeGatewayFleet,
  read: (gateway: FakeGateway) => T,
): readonly T[] {
  return [...new Set(fleet.gateways.map(read))];
}

/** Upstreams that a daemon sends to, in order. */
export function openIds({ core }: FakeGateway): string {
  const open = core.board.register.table.open("pool" as ServiceId);
  return open.map(({ id }) => id).sort().join(" ");
}
