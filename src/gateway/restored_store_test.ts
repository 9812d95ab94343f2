import { describe, expect, test } from "vitest";
import type { DomainId, ServiceId, UpstreamId } from "../core/id.ts";
import type { Millis } from "../core/time.ts";
import {
  emptyServing,
  type FakeGateway,
  FakeGatewayFleet,
  upstreamEntry,
} from "../testing/fake_gateway_fleet.ts";

const SETTLE_MS: Millis = 6_000;
/** Time that the platform allows to close a leaving upstream, and to apply a new configuration. */
const DRAIN_MS: Millis = 2_000;
const APPLY_MS: Millis = 2_000;
/** Time after its return from which the platform holds what the store acknowledges against daemons. */
const STABLE_MS: Millis = 3_000;
const DOWN_MS: Millis = 1_000;
/** Longer than the platform's upstreams and the operator take to write again what they wrote. */
const REWRITTEN_MS: Millis = 2_500;
const E1 = "e1" as UpstreamId;
const E2 = "e2" as UpstreamId;
const E9 = "e9" as UpstreamId;
const LEAVING = upstreamEntry("e1", { leaving: true });

function startedFleet(daemons = 6): FakeGatewayFleet {
  const fleet = FakeGatewayFleet.create(daemons);
  fleet.publish(emptyServing(1));
  for (const id of ["e1", "e2", "e3"]) {
    fleet.register({ type: "entry", entry: upstreamEntry(id) });
  }
  fleet.time.run(SETTLE_MS);
  return fleet;
}

/** Lets other upstreams change their entries `count` times. */
function writeMore(fleet: FakeGatewayFleet, count: number): void {
  for (let i = 0; i < count; i += 1) {
    const entry = upstreamEntry("e3", { slots: 20 + i % 2 });
    fleet.register({ type: "entry", entry });
    fleet.time.run(100);
  }
}

function leaderOf(fleet: FakeGatewayFleet): FakeGateway {
  const { leader } = fleet.gateways[0]!.core.board.members;
  return fleet.gateways.find(({ card }) => card.vm === leader)!;
}

/** Distinct values over all daemons. */
function over<T>(
  fleet: FakeGatewayFleet,
  read: (gateway: FakeGateway) => T,
): readonly T[] {
  return [...new Set(fleet.gateways.map(read))];
}

function openIds({ core }: FakeGateway): string {
  const open = core.board.register.table.open("pool" as ServiceId);
  return open.map(({ id }) => id).sort().join(" ");
}

describe("offsets that go back", () => {
  test("hid a leave from all daemons until they had passed the old ones", () => {
    const fleet = startedFleet();
    writeMore(fleet, 20);
    fleet.restoreStore(5_000, DOWN_MS);
    fleet.time.run(STABLE_MS + 500);
    fleet.register({ type: "entry", entry: LEAVING });
    fleet.time.run(DRAIN_MS);
    expect(over(fleet, openIds)).toEqual(["e2 e3"]);
  });

  test("hid a removal from a daemon that is cut off from the others", () => {
    const fleet = startedFleet();
    writeMore(fleet, 20);
    const other = fleet.gateways.findLast((one) => one !== leaderOf(fleet))!;
    other.cut = true;
    fleet.restoreStore(5_000, DOWN_MS);
    fleet.time.run(STABLE_MS + 500);
    fleet.register({ type: "gone", id: E1 });
    fleet.time.run(DRAIN_MS + 500);
    expect(openIds(other)).toBe("e2 e3");
  });

  test.each([1, 2, 3])(
    "hid changes after %i restores in a row",
    (restores) => {
      const fleet = startedFleet();
      for (let i = 0; i < restores; i += 1) {
        writeMore(fleet, 20);
        fleet.restoreStore(2_500, 200);
      }
      fleet.time.run(STABLE_MS);
      fleet.register({ type: "entry", entry: LEAVING });
      fleet.register({ type: "entry", entry: upstreamEntry("e9") });
      fleet.time.run(DRAIN_MS);
      expect(over(fleet, openIds)).toEqual(["e2 e3 e9"]);
    },
  );
});

describe("a daemon that made no call while offsets passed its own", () => {
  /** A daemon alone, suspended while the store is restored and written to beyond the offsets that it has read. */
  function passedOver(write: (fleet: FakeGatewayFleet) => void) {
    const fleet = startedFleet(1);
    writeMore(fleet, 20);
    fleet.publish(emptyServing(2));
    fleet.time.run(1_000);
    const [gateway] = fleet.gateways;
    gateway!.frozen = true;
    fleet.restoreStore(3_400);
    write(fleet);
    writeMore(fleet, 30);
    for (let i = 0; i < 3; i += 1) fleet.evacuate("z", i % 2 === 0);
    fleet.unfreeze(gateway!);
    fleet.time.run(APPLY_MS);
    return { fleet, gateway: gateway! };
  }

  test("skipped a leave", () => {
    const { gateway } = passedOver((fleet) =>
      fleet.register({ type: "entry", entry: LEAVING })
    );
    expect(openIds(gateway)).toBe("e2 e3");
  });

  test("skipped a version and an evacuation", () => {
    const { gateway } = passedOver((fleet) => {
      fleet.publish(emptyServing(3));
      fleet.evacuate("b", true);
    });
    const { serving } = gateway.core.board;
    expect(serving.version).toBe(3);
    expect(serving.evacuated.has("b" as DomainId)).toBe(true);
  });
});

describe("daemons of the last release, which name no era,", () => {
  /** Runs a restore and a leave after it; returns the open upstreams of the daemons of this release. */
  function openAfterLeave(isLast: (gateway: FakeGateway) => boolean) {
    const fleet = startedFleet();
    for (const gateway of fleet.gateways) {
      gateway.lastRelease = isLast(gateway);
    }
    writeMore(fleet, 20);
    fleet.restoreStore(5_000, DOWN_MS);
    fleet.time.run(STABLE_MS + 500);
    fleet.register({ type: "entry", entry: LEAVING });
    fleet.time.run(DRAIN_MS);
    const current = fleet.gateways.filter((one) => !one.lastRelease);
    return [...new Set(current.map(openIds))];
  }

  test("hid a leave from the others when one of them leads", () => {
    expect(
      openAfterLeave(({ card, core }) => card.vm === core.board.members.leader),
    ).toEqual(["e2 e3"]);
  });

  test("hid a leave from the others when all but the leader are of the last release", () => {
    expect(
      openAfterLeave(({ card, core }) => card.vm !== core.board.members.leader),
    ).toEqual(["e2 e3"]);
  });

  test("lose nothing beside others while there is no restore", () => {
    const fleet = startedFleet();
    fleet.gateways.forEach((one, i) => one.lastRelease = i % 2 === 0);
    fleet.register({ type: "entry", entry: LEAVING });
    fleet.time.run(DRAIN_MS);
    expect(over(fleet, openIds)).toEqual(["e2 e3"]);
  });
});

describe("an older copy", () => {
  test("opened an upstream again that was known to leave", () => {
    const fleet = startedFleet();
    fleet.register({ type: "entry", entry: LEAVING });
    fleet.time.run(DRAIN_MS);
    fleet.restoreStore(5_000, DOWN_MS);
    const seen = new Set<string>();
    fleet.time.run(
      REWRITTEN_MS,
      () => fleet.gateways.forEach((one) => seen.add(openIds(one))),
    );
    fleet.register({ type: "entry", entry: LEAVING });
    fleet.time.run(
      SETTLE_MS,
      () => fleet.gateways.forEach((one) => seen.add(openIds(one))),
    );
    expect([...seen]).toEqual(["e2 e3"]);
  });

  test("brought an upstream back that was known to be gone, until its entry lapsed", () => {
    const fleet = startedFleet();
    fleet.register({ type: "gone", id: E1 });
    fleet.time.run(DRAIN_MS);
    fleet.restoreStore(5_000, DOWN_MS);
    const seen = new Set<string>();
    fleet.time.run(
      3_600,
      () => fleet.gateways.forEach((one) => seen.add(openIds(one))),
    );
    fleet.register({ type: "gone", id: E1 });
    fleet.time.run(
      SETTLE_MS,
      () => fleet.gateways.forEach((one) => seen.add(openIds(one))),
    );
    expect([...seen]).toEqual(["e2 e3"]);
  });

  test("replaced an upstream's process by its predecessor, whose requests were lost", () => {
    const fleet = startedFleet();
    const restarted = upstreamEntry("e1", { startedAt: 2 });
    fleet.register({ type: "entry", entry: restarted });
    fleet.time.run(DRAIN_MS);
    const before = fleet.gateways.map((one) => one.lostUpstreams.length);
    fleet.restoreStore(5_000, DOWN_MS);
    fleet.time.run(REWRITTEN_MS);
    expect(over(fleet, ({ core }) => core.board.register.table.startedAt(E1)))
      .toEqual([2]);
    fleet.register({ type: "entry", entry: restarted });
    fleet.time.run(SETTLE_MS);
    expect(fleet.gateways.map((one) => one.lostUpstreams.length))
      .toEqual(before);
  });

  test("removed an upstream that joined in the lost seconds, before it could register again", () => {
    const fleet = startedFleet();
    const joined = { type: "entry", entry: upstreamEntry("e9") } as const;
    fleet.register(joined);
    fleet.time.run(DRAIN_MS);
    fleet.restoreStore(5_000, DOWN_MS);
    const seen = new Set<string>();
    fleet.time.run(
      REWRITTEN_MS,
      () => fleet.gateways.forEach((one) => seen.add(openIds(one))),
    );
    fleet.register(joined);
    fleet.time.run(
      SETTLE_MS,
      () => fleet.gateways.forEach((one) => seen.add(openIds(one))),
    );
    expect([...seen]).toEqual(["e1 e2 e3 e9"]);
  });

  test("kept an upstream that joined in the lost seconds and never registered again", () => {
    const fleet = startedFleet();
    fleet.register({ type: "entry", entry: upstreamEntry("e9") });
    fleet.time.run(DRAIN_MS);
    fleet.restoreStore(5_000, DOWN_MS);
    fleet.time.run(SETTLE_MS);
    expect(over(fleet, ({ core }) => core.board.register.table.get(E9)))
      .toEqual([undefined]);
  });

  test("counts once its time has passed: an upstream that still is ready opens again", () => {
    const fleet = startedFleet();
    fleet.register({ type: "entry", entry: LEAVING });
    fleet.register({ type: "gone", id: E2 });
    fleet.time.run(DRAIN_MS);
    fleet.restoreStore(5_000, DOWN_MS);
    fleet.time.run(SETTLE_MS + DOWN_MS);
    expect(over(fleet, openIds)).toEqual(["e1 e2 e3"]);
  });

  test("ended an evacuation before the operator could request it again", () => {
    const fleet = startedFleet();
    fleet.evacuate("b", true);
    fleet.time.run(APPLY_MS);
    const isEvacuated = ({ core }: FakeGateway) =>
      core.board.serving.evacuated.has("b" as DomainId);
    fleet.restoreStore(5_000, DOWN_MS);
    const seen = new Set<boolean>();
    const check = () =>
      over(fleet, isEvacuated).forEach((one) => seen.add(one));
    fleet.time.run(REWRITTEN_MS, check);
    fleet.evacuate("b", true);
    fleet.time.run(SETTLE_MS, check);
    expect([...seen]).toEqual([true]);
    fleet.evacuate("b", false);
    fleet.time.run(APPLY_MS);
    expect(over(fleet, isEvacuated)).toEqual([false]);
  });

  test("ended an evacuation for good that nobody requests again", () => {
    const fleet = startedFleet();
    fleet.evacuate("b", true);
    fleet.time.run(APPLY_MS);
    fleet.restoreStore(5_000, DOWN_MS);
    fleet.time.run(SETTLE_MS + DOWN_MS);
    expect(over(fleet, ({ core }) => core.board.serving.evacuated.size))
      .toEqual([0]);
  });

  test.each([["the same", 7], ["a newer", 8]])(
    "took a version back until the operator wrote %s again",
    (_name, version) => {
      const fleet = startedFleet();
      fleet.publish(emptyServing(7));
      fleet.time.run(APPLY_MS);
      for (const _era of [1, 2]) {
        const seen = new Set<number>();
        const check = () =>
          fleet.gateways.forEach(({ core }) =>
            seen.add(core.board.serving.version)
          );
        fleet.restoreStore(5_000, DOWN_MS);
        fleet.time.run(REWRITTEN_MS, check);
        fleet.publish(emptyServing(version));
        fleet.time.run(APPLY_MS, check);
        expect(Math.min(...seen)).toBeGreaterThanOrEqual(7);
        expect(over(fleet, ({ core }) => core.board.serving.version))
          .toEqual([version]);
      }
    },
  );

  test("confirmed a version that the store no longer has", () => {
    const fleet = startedFleet(1);
    fleet.publish(emptyServing(7));
    fleet.time.run(1_000);
    fleet.restoreStore(3_000);
    fleet.time.run(10_000);
    const { serving } = fleet.gateways[0]!.core.board;
    expect(fleet.time.now - serving.asOf).toBeGreaterThan(9_000);
    fleet.publish(emptyServing(7));
    fleet.time.run(1_000);
    expect(fleet.time.now - serving.asOf).toBeLessThan(1_000);
  });
});

describe("what the daemons wrote themselves was gone", () => {
  const RECORD = {
    digest: "poison",
    epoch: 0,
    lost: ["e1/1", "e2/1", "e3/1"],
    trials: 0,
    ageMs: 10,
  };

  function writtenFleet(): FakeGatewayFleet {
    const fleet = startedFleet(4);
    const leader = leaderOf(fleet);
    leader.core.board.contents.suspects.merge([RECORD], fleet.time.now);
    fleet.step(leader, [{
      type: "upstream_said",
      upstream: E1,
      availability: { leaving: false, maxRate: 2 },
      sentAt: fleet.time.now,
    }]);
    fleet.time.run(5_000);
    return fleet;
  }

  function written({ store }: FakeGatewayFleet) {
    return {
      contents: store.contents.newest?.map(({ digest }) => digest),
      rates: store.rates.newest?.map(({ upstream }) => upstream),
      cards: store.cards.length > 0,
    };
  }

  const ALL = { contents: ["poison"], rates: ["e1"], cards: true };

  test("for good, after one restore and after two", () => {
    const fleet = writtenFleet();
    expect(written(fleet)).toEqual(ALL);
    for (const copyAgeMs of [20_000, 9_000]) {
      fleet.restoreStore(copyAgeMs, DOWN_MS);
      expect(written(fleet)).not.toEqual(ALL);
      fleet.time.run(8_000);
      expect(written(fleet)).toEqual(ALL);
    }
  });

  test("also when the leader changed just then", () => {
    const fleet = writtenFleet();
    fleet.restoreStore(20_000, DOWN_MS);
    fleet.time.run(300);
    fleet.remove(leaderOf(fleet));
    fleet.time.run(12_000);
    expect(written(fleet)).toEqual(ALL);
  });

  test("so that all daemons, started again, ran quarantined contents", () => {
    const fleet = writtenFleet();
    fleet.restoreStore(20_000, DOWN_MS);
    fleet.time.run(8_000);
    for (const gateway of [...fleet.gateways]) fleet.remove(gateway);
    const started = fleet.add("vm-0", []);
    fleet.time.run(SETTLE_MS);
    expect(started.core.board.contents.suspects.quarantineSummary).not.toBe("");
  });
});

describe("a daemon that starts after a restore", () => {
  const SEEDS = ["vm-0:1", "vm-1:1", "vm-2:1"];

  /** A restored fleet whose copy contradicts what its daemons know of two upstreams and of the version. */
  function restoredFleet(): FakeGatewayFleet {
    const fleet = startedFleet();
    fleet.register({ type: "entry", entry: LEAVING });
    fleet.register({ type: "gone", id: E2 });
    fleet.publish(emptyServing(7));
    fleet.time.run(DRAIN_MS);
    fleet.restoreStore(5_000, DOWN_MS);
    return fleet;
  }

  test.each([
    ["leads at once, with the restore", 0.9, 0],
    ["leads at once, shortly after it", 0.9, 400],
    ["follows, with the restore", 0.1, 0],
    ["follows, shortly after it", 0.1, 400],
    ["follows, a second after it", 0.1, 1_000],
  ])(
    "and %s took the copy for the truth",
    (_name, power, delayMs) => {
      const fleet = restoredFleet();
      fleet.time.run(delayMs);
      const late = fleet.add("late", SEEDS, { power });
      const seen = new Set<string>();
      const check = () => {
        for (const gateway of fleet.gateways) {
          const { self, serving } = gateway.core.board;
          if (!self.card.open) continue;
          seen.add(`${openIds(gateway)} version ${serving.version}`);
        }
      };
      fleet.time.run(REWRITTEN_MS, check);
      expect(late.core.board.self.card.open).toBe(true);
      fleet.register({ type: "entry", entry: LEAVING });
      fleet.publish(emptyServing(7));
      fleet.time.run(1_100, check);
      fleet.register({ type: "gone", id: E2 });
      fleet.time.run(SETTLE_MS, check);
      expect([...seen]).toEqual(["e3 version 7"]);
    },
  );

  test("alone, cut off from its peers, took the copy for the truth after it had joined them", () => {
    const fleet = startedFleet();
    fleet.register({ type: "gone", id: E1 });
    fleet.time.run(DRAIN_MS);
    const late = fleet.restart(fleet.gateways.at(-1)!);
    late.cut = true;
    fleet.restoreStore(3_000);
    fleet.time.run(1_200);
    late.cut = false;
    fleet.time.run(DRAIN_MS);
    expect(over(fleet, openIds)).toEqual(["e2 e3"]);
  });

  test("beside a peer that starts a moment later is not held up until its next try", () => {
    const fleet = restoredFleet();
    for (const gateway of [...fleet.gateways]) fleet.remove(gateway);
    const started = fleet.add("vm-1", ["vm-0:1"]);
    fleet.time.run(150);
    fleet.add("vm-0", ["vm-0:1"]);
    fleet.time.run(150);
    expect(started.core.board.register.position.offset).toBe(3);
  });

  test("without peers is ready, and one whose peers are silent is ready in time", () => {
    const fleet = restoredFleet();
    for (const gateway of [...fleet.gateways]) fleet.remove(gateway);
    const alone = fleet.add("vm-0", ["vm-0:1"]);
    const silent = fleet.add("vm-1", ["vm-8:1", "vm-9:1"]);
    fleet.time.run(100);
    expect(alone.core.board.register.position.offset).toBe(3);
    fleet.time.run(APPLY_MS);
    expect(silent.core.board.self.card.open).toBe(true);
  });
});

test("an upstream that two restores in a row have lost was dropped before it could write again", () => {
  const fleet = startedFleet();
  fleet.register({ type: "entry", entry: upstreamEntry("e9") });
  fleet.time.run(1_500);
  fleet.restoreStore(2_000);
  fleet.time.run(2_000);
  fleet.restoreStore(4_000);
  fleet.time.run(REWRITTEN_MS);
  expect(over(fleet, openIds)).toEqual(["e1 e2 e3 e9"]);
  fleet.time.run(SETTLE_MS);
  expect(over(fleet, openIds)).toEqual(["e1 e2 e3"]);
});

test("an older start that the copy of a restored store states ended the requests of the process that runs", () => {
  const fleet = startedFleet();
  fleet.register({
    type: "entry",
    entry: upstreamEntry("e1", { startedAt: 5 }),
  });
  fleet.time.run(1_500);
  for (const gateway of fleet.gateways) gateway.lostUpstreams.length = 0;
  fleet.restoreStore(2_000);
  fleet.time.run(2 * SETTLE_MS);
  expect(fleet.gateways.flatMap((one) => one.lostUpstreams)).toEqual([]);
});
