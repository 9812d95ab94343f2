import { expect, test } from "vitest";
import type { UpstreamId } from "../../core/id.ts";
import { FakeGatewayFleet } from "../../testing/fake_gateway_fleet.ts";
import { emptyServing, upstreamEntry } from "../../testing/gateway_values.ts";

const E1 = "e1" as UpstreamId;
/** Time until the daemons have found each other and read the register, and until they have read a change. */
const SETTLE_MS = 6_000;

function upstreamsLostBy(starts: readonly number[]): readonly UpstreamId[] {
  const fleet = FakeGatewayFleet.create(3);
  fleet.publish(emptyServing(1));
  for (const startedAt of starts) {
    const entry = { ...upstreamEntry("e1"), startedAt };
    fleet.register({ type: "entry", entry });
    fleet.time.run(SETTLE_MS);
  }
  return fleet.gateways.flatMap((gateway) => gateway.lostUpstreams);
}

test.each<[string, readonly number[], number]>([
  ["that doesn't state its start does not end the answers", [5, 0], 0],
  ["that states its start at last does not end the answers", [0, 5], 0],
  ["that states its start again does not end the answers", [5, 0, 5], 0],
  ["that states another start ends the answers of all daemons", [5, 9], 3],
  ["that states another start in between, too", [5, 0, 9], 3],
])("a register entry %s", (_, starts, count) => {
  expect(upstreamsLostBy(starts)).toEqual(Array(count).fill(E1));
});
