import { expect, test } from "vitest";
import type { DomainId, ServiceId } from "../../core/id.ts";
import { Random } from "../../core/random.ts";
import type { Millis } from "../../core/time.ts";
import { FakeGatewayFleet } from "../../testing/fake_gateway_fleet.ts";
import { emptyServing, upstreamEntry } from "../../testing/gateway_values.ts";
import { encodePeerMessage } from "../peers/peer_message.ts";
import { tableMessage } from "../upstreams/table_message.ts";
import { isReady } from "./membership.ts";

/** All VMs start within this time. */
const START_SPREAD_MS: Millis = 300;
/** Time in which a daemon that has started must be up to date, by the bounds of the deployments. */
const CATCH_UP_MS: Millis = 4_000;
const DOMAINS = ["a", "b", "c"];

/** What a daemon's heartbeats and lists of daemons may take, on average over the daemons. */
const HEARTBEAT_BYTES_PER_MS = 8;

/** A slow processor that runs code for the first time, and a link of 48 Mbit/s. */
const COSTS = {
  receiveMs: 0.25,
  receiveMsPerKb: 0.06,
  sendMs: 0.08,
  sendMsPerKb: 0.01,
  linkKbPerMs: 6,
};

function fleetOf(daemons: number, upstreams: number): FakeGatewayFleet {
  const random = Random.create(7);
  const fleet = FakeGatewayFleet.create(0);
  fleet.chargeMessages(COSTS);
  fleet.publish(emptyServing(1));
  for (let i = 0; i < upstreams; i += 1) {
    const entry = upstreamEntry(`i-${random.below(2 ** 31).toString(16)}`, {
      service: "pool" as ServiceId,
      address: `10.2.${64 + (i >> 8)}.${i & 255}:8080`,
      startedAt: 1_796_548_233_000 + random.below(300),
    });
    fleet.register({ type: "entry", entry });
  }
  const seeds = ["vm-0:1", "vm-1:1", "vm-2:1"];
  for (let i = 0; i < daemons; i += 1) {
    const domain = DOMAINS[i % 3] as DomainId;
    const power = [0.75, 0.75, 0.8, 1.35][random.below(4)]!;
    fleet.time.schedule(
      random.below(START_SPREAD_MS),
      () => fleet.add(`vm-${i}`, seeds, { domain, power }),
    );
  }
  return fleet;
}

test.each([[30, 300], [100, 1_000], [300, 3_000]])(
  "%i daemons before %i upstreams that start together are ready in time and agree on a leader",
  { timeout: 60_000 },
  (daemons, upstreams) => {
    const fleet = fleetOf(daemons, upstreams);
    fleet.time.run(START_SPREAD_MS + CATCH_UP_MS);
    const { gateways } = fleet;
    expect(gateways.filter(({ core }) => isReady(core.board))).toHaveLength(
      daemons,
    );
    const leaders = gateways.map(({ core }) => core.board.members.leader);
    expect(new Set(leaders).size).toBe(1);
    // Of the two topics each daemon reads one at most, on average: the others have read them.
    const wholeReads = gateways.reduce((sum, one) => sum + one.wholeReads, 0);
    expect(wholeReads).toBeLessThanOrEqual(daemons);
    // Each daemon needs the table once, beside its heartbeats.
    const { board } = gateways[0]!.core;
    const tableBytes =
      encodePeerMessage(tableMessage(board, fleet.time.now)).length;
    const heartbeatBytes = HEARTBEAT_BYTES_PER_MS *
      (START_SPREAD_MS + CATCH_UP_MS);
    expect(fleet.messageBytes / daemons)
      .toBeLessThan(2 * tableBytes + heartbeatBytes);
  },
);
