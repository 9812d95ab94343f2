import { describe, expect, test } from "vitest";
import type { FakeGatewayFleet } from "../testing/fake_gateway_fleet.ts";
import { emptyServing, upstreamEntry } from "../testing/gateway_values.ts";
import {
  APPLY_MS,
  DOWN_MS,
  DRAIN_MS,
  E1,
  E2,
  leaderOf,
  LEAVING,
  openIds,
  over,
  REWRITTEN_MS,
  SETTLE_MS,
  startedFleet,
} from "../testing/restored_fleet.ts";

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
