import { expect, test } from "vitest";
import type { DomainId } from "../../core/id.ts";
import { FakeGatewayFleet } from "../../testing/fake_gateway_fleet.ts";
import { emptyServing, upstreamEntry } from "../../testing/gateway_values.ts";

/** Times of changes that fall at any moment of the leader's reads. */
const CHANGE_GAPS_MS = [130, 370, 710, 1_090, 1_630, 2_310];

test.each([18, 112])(
  "each change of the register let other daemons than the leader read it: of %i none does",
  (daemons) => {
    const fleet = FakeGatewayFleet.create(0);
    fleet.publish(emptyServing(1));
    const seeds = ["vm-0:1"];
    for (let i = 0; i < daemons; i += 1) {
      const domain = ["a", "b", "c"][i % 3] as DomainId;
      fleet.add(`vm-${i}`, seeds, { domain });
    }
    fleet.time.run(6_000);
    const reads = () => fleet.gateways.filter(({ reads }) => reads > 0).length;
    for (const gateway of fleet.gateways) gateway.reads = 0;
    for (const [i, gapMs] of CHANGE_GAPS_MS.entries()) {
      fleet.register({ type: "entry", entry: upstreamEntry(`e${i}`) });
      fleet.time.run(gapMs);
    }
    // The leader, and two daemons of each failure domain that read the configuration.
    expect(reads()).toBeLessThanOrEqual(7);
  },
);
