import { expect, test } from "vitest";
import type { Millis } from "../../core/time.ts";
import { FakeGatewayFleet } from "../../testing/fake_gateway_fleet.ts";
import { emptyServing } from "../../testing/gateway_values.ts";
import { livenessTimeoutMs } from "./membership.ts";

/** Time in which clients may still be sent to a daemon that is gone, by the users' platform. */
const DIRECTORY_MS: Millis = 7_000;

test.each([24, 112, 300])(
  "of %i daemons, one that is gone was named to clients for too long",
  { timeout: 60_000 },
  (daemons) => {
    const fleet = FakeGatewayFleet.create(daemons);
    fleet.publish(emptyServing(1));
    fleet.time.run(8_000);
    const { leader, deputy } = fleet.gateways[0]!.core.board.members;
    const gone = fleet.gateways.findLast(({ card }) =>
      card.vm !== leader && card.vm !== deputy
    )!;
    fleet.remove(gone);
    fleet.time.run(DIRECTORY_MS);
    const named = fleet.gateways.filter(({ core: { board } }) =>
      board.members.table.live(fleet.time.now, livenessTimeoutMs(board))
        .some(({ vm }) => vm === gone.card.vm)
    );
    expect(named.length).toBe(0);
  },
);
