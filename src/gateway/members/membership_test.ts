import { expect, test } from "vitest";
import { FakeGatewayFleet } from "../../testing/fake_gateway_fleet.ts";
import { emptyServing } from "../../testing/gateway_values.ts";
import { leadsMajority } from "./membership.ts";

test.each([[4, 2], [6, 2], [6, 3]])(
  "of %d daemons in %d parts of a network, one leader at most has the majority",
  (daemons, parts) => {
    const fleet = FakeGatewayFleet.create(daemons);
    fleet.publish(emptyServing(1));
    const leaders = () =>
      fleet.gateways.filter(({ core }) =>
        leadsMajority(core.board, fleet.time.now)
      ).length;
    fleet.time.run(6_000);
    expect(leaders()).toBe(1);
    fleet.gateways.forEach((gateway, i) => gateway.part = i % parts);
    fleet.time.run(10_000);
    expect(leaders()).toBe(parts === 2 ? 1 : 0);
  },
);
