import { describe, expect, test } from "vitest";
import type { ServiceId, UpstreamId, VmId } from "../core/id.ts";
import { READERS_PER_DOMAIN } from "./serving/serving_readers.ts";
import type { JobId, PlacementRequest } from "../scheduling/pool/pool_job.ts";
import { placementRequest, poolJob } from "../testing/pool_fixtures.ts";
import {
  type FakeGateway,
  FakeGatewayFleet,
} from "../testing/fake_gateway_fleet.ts";
import { emptyServing, upstreamEntry } from "../testing/gateway_values.ts";

const SETTLE_MS = 6_000;
/** Time that the platform allows to close a leaving upstream, and to apply a new configuration. */
const DRAIN_MS = 2_000;
const APPLY_MS = 2_000;

function startedFleet(count: number): FakeGatewayFleet {
  const fleet = FakeGatewayFleet.create(count);
  fleet.publish(emptyServing(1));
  for (const id of ["e1", "e2", "e3"]) {
    fleet.register({ type: "entry", entry: upstreamEntry(id) });
  }
  fleet.time.run(SETTLE_MS);
  return fleet;
}

function leadersOf(fleet: FakeGatewayFleet): VmId[] {
  const names = fleet.gateways.map((gateway) =>
    gateway.core.board.members.leader
  );
  return [...new Set(names)];
}

function leaderOf(fleet: FakeGatewayFleet): FakeGateway {
  const [leader] = leadersOf(fleet);
  return fleet.gateways.find((gateway) => gateway.card.vm === leader)!;
}

function otherThan(fleet: FakeGatewayFleet, gateway: FakeGateway): FakeGateway {
  return fleet.gateways.find((other) => other !== gateway)!;
}

function askOf(gateway: FakeGateway, job: string): PlacementRequest {
  const { vm } = gateway.card;
  return placementRequest(job, {
    vm,
    kind: "call",
    promptTokens: 0,
    leftMs: 1_000,
  });
}

describe("members", () => {
  test("when one of 60 daemons disappears, the whole list of daemons is not sent to all others again", () => {
    const fleet = startedFleet(60);
    const gone = otherThan(fleet, leaderOf(fleet));
    fleet.remove(gone);
    const before = fleet.messageBytes;
    fleet.time.run(5_000);
    const live = fleet.gateways.map((gateway) =>
      gateway.core.board.members.table.live(fleet.time.now, 2_000).length
    );
    expect(new Set(live)).toEqual(new Set([58]));
    const heartbeats = 5_000 / 480 * 60 * 2;
    expect((fleet.messageBytes - before) / heartbeats).toBeLessThan(2_000);
  });

  test("all daemons agree on one leader", () => {
    const fleet = startedFleet(18);
    expect(leadersOf(fleet)).toHaveLength(1);
    const live = fleet.gateways.map((gateway) =>
      gateway.core.board.members.table.live(fleet.time.now, 2_000).length
    );
    expect(new Set(live)).toEqual(new Set([17]));
  });

  test("another daemon leads while the leader is frozen, and the first leader leads again once it is thawed", () => {
    const fleet = startedFleet(6);
    const first = leaderOf(fleet);
    first.frozen = true;
    fleet.time.run(2_500);
    const rest = fleet.gateways.filter((gateway) => gateway !== first);
    const leaders = new Set(
      rest.map((gateway) => gateway.core.board.members.leader),
    );
    expect(leaders.size).toBe(1);
    expect(leaders.has(first.card.vm)).toBe(false);
    fleet.unfreeze(first);
    fleet.time.run(8_000);
    expect(leadersOf(fleet)).toEqual([first.card.vm]);
  });

  test("a daemon whose seeds are unreachable finds the other daemons through the store", () => {
    const fleet = startedFleet(3);
    const late = fleet.add("late", ["nowhere:1"]);
    fleet.time.run(5_000);
    expect(late.core.board.members.leader).toBe(leaderOf(fleet).card.vm);
  });
});

describe("placement", () => {
  test("the leader grants a placement request of another daemon", () => {
    const fleet = startedFleet(4);
    const other = otherThan(fleet, leaderOf(fleet));
    fleet.step(other, [{ type: "place", ask: askOf(other, "j1") }]);
    fleet.time.run(10);
    expect(other.replies.map((reply) => reply.type)).toEqual(["granted"]);
    expect(leaderOf(fleet).core.board.pool.scheduler.tracker.jobs.size).toBe(
      1,
    );
  });

  test("while the leader does not answer, the deputy places requests, and the next request goes to it directly", () => {
    const fleet = startedFleet(4);
    const leader = leaderOf(fleet);
    const other = otherThan(fleet, leader);
    leader.frozen = true;
    fleet.step(other, [{ type: "place", ask: askOf(other, "j1") }]);
    fleet.time.run(150);
    expect(other.replies.map((reply) => reply.type)).toEqual(["granted"]);
    fleet.step(other, [{ type: "place", ask: askOf(other, "j2") }]);
    fleet.time.run(10);
    expect(other.replies).toHaveLength(2);
    const deputy = fleet.gateways.find((gateway) =>
      gateway.card.vm === other.core.board.members.deputy
    )!;
    expect(deputy.core.board.pool.scheduler.tracker.jobs.size).toBe(2);
  });

  test("a daemon without a connection to the others places its own requests", () => {
    const fleet = startedFleet(4);
    const other = otherThan(fleet, leaderOf(fleet));
    other.cut = true;
    fleet.step(other, [{ type: "place", ask: askOf(other, "j1") }]);
    fleet.time.run(250);
    expect(other.replies.map((reply) => reply.type)).toEqual(["granted"]);
  });

  test("a job that the leader placed is known to the deputy within 10 ms", () => {
    const fleet = startedFleet(4);
    const leader = leaderOf(fleet);
    const deputy = fleet.gateways.find((gateway) =>
      gateway.card.vm === leader.core.board.members.deputy
    )!;
    const other = fleet.gateways.find((gateway) =>
      gateway !== leader && gateway !== deputy
    )!;
    fleet.step(other, [{ type: "place", ask: askOf(other, "j1") }]);
    fleet.time.run(10);
    expect(deputy.core.board.pool.scheduler.tracker.jobs.size).toBe(1);
  });

  test("a new leader knows the running jobs, and removes a job when it has ended", () => {
    const fleet = startedFleet(4);
    const leader = leaderOf(fleet);
    const other = otherThan(fleet, leader);
    fleet.step(other, [{ type: "place", ask: askOf(other, "j1") }]);
    fleet.time.run(10);
    leader.cut = true;
    fleet.time.run(3_000);
    const second = fleet.gateways.find((gateway) =>
      gateway.card.vm === other.core.board.members.leader
    )!;
    expect([...second.core.board.pool.scheduler.tracker.jobs.keys()])
      .toEqual([
        "j1",
      ]);
    const upstream = "e1" as UpstreamId;
    fleet.step(other, [
      { type: "job", job: "j1" as JobId, upstream, phase: "ended" },
    ]);
    fleet.time.run(10);
    expect(second.core.board.pool.scheduler.tracker.jobs.size).toBe(0);
  });

  test("the leader removes the jobs of a daemon that is gone", () => {
    const fleet = startedFleet(4);
    const leader = leaderOf(fleet);
    const other = otherThan(fleet, leader);
    fleet.step(other, [{ type: "place", ask: askOf(other, "j1") }]);
    fleet.time.run(10);
    fleet.remove(other);
    fleet.time.run(5_000);
    expect(leader.core.board.pool.scheduler.tracker.jobs.size).toBe(0);
  });
});

describe("engines that become slow", () => {
  const E1 = "e1" as UpstreamId;

  function fleetWithPrompt(): FakeGatewayFleet {
    const fleet = startedFleet(4);
    for (const id of ["e1", "e2", "e3"]) {
      fleet.slowdowns.set(id as UpstreamId, id === "e1" ? 6 : 1);
    }
    const scheduler = leaderOf(fleet).core.board.pool.scheduler;
    const job = poolJob("j1", "e1", { vm: leaderOf(fleet).card.vm });
    scheduler.tracker.add(job, fleet.time.now);
    scheduler.slowEngines.expectFirstEvent(job, 50, fleet.time.now);
    return fleet;
  }

  test("are inspected when a first event is late, and the deputy receives their pace", () => {
    const fleet = fleetWithPrompt();
    fleet.time.run(2_000);
    const paces = fleet.gateways.map(({ core, card }) => [
      card.vm === core.board.members.leader ||
      core.board.members.deputy === card.vm,
      core.board.pool.scheduler.tracker.loadOf(E1).slowdownAt(
        fleet.time.now,
      ),
    ]);
    expect(paces.filter(([places]) => places).map(([, pace]) => pace))
      .toEqual([6, 6]);
    const known = leaderOf(fleet).lines.filter((line) =>
      line.kind === "engine_pace"
    );
    expect(known.map((line) => line.fields)).toEqual([
      { upstream: "e1", pace: 6, before: 1, source: "report" },
    ]);
  });

  test("are inspected at a bounded rate until they have recovered", () => {
    const fleet = fleetWithPrompt();
    fleet.time.run(1_000);
    leaderOf(fleet).core.board.pool.scheduler.withdraw(
      "j1" as JobId,
      fleet.time.now,
    );
    const before = fleet.inspections;
    fleet.time.run(5_000);
    expect(fleet.inspections - before).toBeLessThanOrEqual(6);
    fleet.slowdowns.set(E1, 1);
    fleet.time.run(2_000);
    const { tracker: accounts } = leaderOf(fleet).core.board.pool.scheduler;
    expect(accounts.slowUpstreams(fleet.time.now)).toEqual([]);
    const after = fleet.inspections;
    fleet.time.run(5_000);
    expect(fleet.inspections).toBe(after);
  });
});

describe("the register", () => {
  test("only the leader reads the register", () => {
    const fleet = startedFleet(18);
    const before = fleet.gateways.map((gateway) => gateway.reads);
    fleet.time.run(10_000);
    const reads = fleet.gateways.map((gateway, i) =>
      gateway.reads - before[i]!
    );
    const leader = fleet.gateways.indexOf(leaderOf(fleet));
    const others = reads.filter((_, i) => i !== leader);
    // The long polls of the configuration by its readers, and no reads of the register.
    expect(Math.max(...others)).toBeLessThanOrEqual(2);
    expect(others.filter((count) => count > 0).length)
      .toBeLessThanOrEqual(READERS_PER_DOMAIN);
  });

  test("a leaving upstream is closed on all daemons in time", () => {
    const fleet = startedFleet(6);
    fleet.register({
      type: "entry",
      entry: upstreamEntry("e1", { leaving: true }),
    });
    fleet.time.run(DRAIN_MS / 2);
    for (const { core } of fleet.gateways) {
      expect(core.board.register.table.get("e1" as UpstreamId)?.leaving)
        .toBe(true);
    }
  });

  test("a leaving upstream is closed on all other daemons in time when the leader has just frozen", () => {
    const fleet = startedFleet(6);
    const leader = leaderOf(fleet);
    leader.frozen = true;
    fleet.register({
      type: "entry",
      entry: upstreamEntry("e1", { leaving: true }),
    });
    fleet.time.run(DRAIN_MS);
    for (const gateway of fleet.gateways) {
      if (gateway === leader) continue;
      expect(gateway.core.board.register.table.get("e1" as UpstreamId)?.leaving)
        .toBe(true);
    }
  });

  test("a leaving upstream is closed on all daemons in time when the store refuses the leader", () => {
    const fleet = startedFleet(6);
    leaderOf(fleet).storeRefuses = true;
    fleet.time.run(3_000);
    fleet.register({
      type: "entry",
      entry: upstreamEntry("e1", { leaving: true }),
    });
    fleet.time.run(DRAIN_MS);
    for (const { core } of fleet.gateways) {
      expect(core.board.register.table.get("e1" as UpstreamId)?.leaving)
        .toBe(true);
    }
  });

  test("entries that expired during an outage of the store stay open until upstreams have registered again", () => {
    const fleet = startedFleet(4);
    fleet.storeDown = true;
    fleet.time.run(4_000);
    for (const id of ["e1", "e2"]) {
      fleet.register({ type: "gone", id: id as UpstreamId });
    }
    fleet.storeDown = false;
    fleet.time.run(1_500);
    const open = () =>
      fleet.gateways.map((gateway) =>
        gateway.core.board.register.table.open("pool" as ServiceId).length
      );
    expect(new Set(open())).toEqual(new Set([3]));
    fleet.register({ type: "entry", entry: upstreamEntry("e1") });
    fleet.time.run(4_000);
    expect(new Set(open())).toEqual(new Set([2]));
  });
});

/** Daemons of the large deployments, and the time that the platform allows there to close a leaving upstream. */
const LARGE_FLEET_SIZE = 142;
const LARGE_FLEET_DRAIN_MS = 3_000;

describe("when the store refuses the leader and a third of the other daemons", () => {
  function refusingFleet(phaseMs: number): FakeGatewayFleet {
    const fleet = startedFleet(LARGE_FLEET_SIZE);
    fleet.time.run(5_000 + phaseMs);
    const leader = leaderOf(fleet);
    fleet.gateways.forEach((gateway, i) => {
      gateway.storeRefuses = gateway === leader || i % 3 === 0;
    });
    return fleet;
  }

  // The heartbeat phase determines the age of the leader's last read, and which daemon reads next.
  const PHASES_MS = [0, 150, 400, 777];

  test.each(PHASES_MS)(
    "a leaving upstream is closed on all daemons in time, phase %i ms",
    (phaseMs) => {
      const fleet = refusingFleet(phaseMs);
      fleet.register({
        type: "entry",
        entry: upstreamEntry("e1", { leaving: true }),
      });
      fleet.time.run(LARGE_FLEET_DRAIN_MS);
      const open = fleet.gateways.filter(({ core }) =>
        core.board.register.table.get("e1" as UpstreamId)?.leaving !== true
      );
      expect(open.map((gateway) => gateway.card.vm)).toEqual([]);
    },
  );

  test.each(PHASES_MS)(
    "an upstream whose entry is removed without notice is closed on all daemons in time, phase %i ms",
    (phaseMs) => {
      const fleet = refusingFleet(phaseMs);
      fleet.register({ type: "gone", id: "e1" as UpstreamId });
      fleet.time.run(LARGE_FLEET_DRAIN_MS);
      const open = fleet.gateways.filter(({ core }) =>
        core.board.register.table.get("e1" as UpstreamId) !== undefined
      );
      expect(open.map((gateway) => gateway.card.vm)).toEqual([]);
    },
  );

  test.each(PHASES_MS)(
    "a new version is applied on all daemons in time, phase %i ms",
    (phaseMs) => {
      const fleet = refusingFleet(phaseMs);
      fleet.publish(emptyServing(7));
      fleet.time.run(LARGE_FLEET_DRAIN_MS);
      const behind = fleet.gateways.filter(({ core }) =>
        core.board.serving.version !== 7
      );
      expect(behind.map((gateway) => gateway.card.vm)).toEqual([]);
    },
  );
});

describe("the configuration", () => {
  test("a new version is applied on all daemons in time", () => {
    const fleet = startedFleet(6);
    fleet.publish(emptyServing(7));
    fleet.time.run(APPLY_MS / 2);
    const versions = fleet.gateways.map((gateway) =>
      gateway.core.board.serving.version
    );
    expect(new Set(versions)).toEqual(new Set([7]));
  });

  test("daemons that the store refuses fetch a new version from peers", () => {
    const fleet = startedFleet(6);
    const leader = leaderOf(fleet);
    for (const peer of fleet.gateways.slice(0, 4)) peer.storeRefuses = true;
    leader.storeRefuses = true;
    fleet.time.run(1_000);
    fleet.publish(emptyServing(7));
    fleet.time.run(APPLY_MS);
    const versions = fleet.gateways.map((gateway) =>
      gateway.core.board.serving.version
    );
    expect(new Set(versions)).toEqual(new Set([7]));
  });

  test("with 60 daemons, only the leader and the readers of the domain read a series of versions from the store", () => {
    const fleet = startedFleet(60);
    const before = fleet.gateways.map((gateway) => gateway.reads);
    for (let version = 2; version < 12; version += 1) {
      fleet.publish(emptyServing(version));
      fleet.time.run(1_000);
    }
    const versions = fleet.gateways.map((gateway) =>
      gateway.core.board.serving.version
    );
    expect(new Set(versions)).toEqual(new Set([11]));
    const readers = fleet.gateways.filter((gateway, i) =>
      gateway.reads > before[i]!
    );
    expect(readers.length).toBeLessThanOrEqual(READERS_PER_DOMAIN + 1);
  });

  test("a daemon without a connection to the others reads a new version from the store in time", () => {
    const fleet = startedFleet(6);
    const leader = leaderOf(fleet);
    const other = fleet.gateways.findLast((gateway) => gateway !== leader)!;
    other.cut = true;
    fleet.publish(emptyServing(7));
    fleet.time.run(APPLY_MS);
    expect(other.core.board.serving.version).toBe(7);
  });

  test("when the store refuses the leader, a new version is applied on all daemons in time", () => {
    const fleet = startedFleet(6);
    const leader = leaderOf(fleet);
    leader.storeRefuses = true;
    fleet.time.run(2_000);
    fleet.publish(emptyServing(7));
    fleet.time.run(APPLY_MS);
    const versions = fleet.gateways.map((gateway) =>
      gateway.core.board.serving.version
    );
    expect(new Set(versions)).toEqual(new Set([7]));
  });

  test("when readers do not pass on a new version, it is still applied on all daemons in time", () => {
    const fleet = startedFleet(6);
    const leader = leaderOf(fleet);
    const readers = fleet.gateways.filter((gateway) => gateway.reads > 3);
    for (const gateway of readers) if (gateway !== leader) gateway.cut = true;
    fleet.publish(emptyServing(7));
    fleet.time.run(APPLY_MS);
    const versions = fleet.gateways.map((gateway) =>
      gateway.core.board.serving.version
    );
    expect(new Set(versions)).toEqual(new Set([7]));
  });

  test("an older version does not replace a newer one", () => {
    const fleet = startedFleet(2);
    fleet.publish(emptyServing(7));
    fleet.time.run(1_000);
    const [gateway] = fleet.gateways;
    fleet.step(gateway!, [{
      type: "serving_fetched",
      serving: emptyServing(3),
    }]);
    expect(gateway!.core.board.serving.version).toBe(7);
  });

  test("a daemon that starts while the store is down gets the configuration and the register from its peers", () => {
    const fleet = startedFleet(3);
    fleet.storeDown = true;
    const late = fleet.add("late");
    fleet.time.run(2_500);
    expect(late.core.board.serving.version).toBe(1);
    expect(late.core.board.register.table.size).toBe(3);
  });
});
