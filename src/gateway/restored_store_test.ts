import { describe, expect, test } from "vitest";
import type { DomainId } from "../core/id.ts";
import type {
  FakeGateway,
  FakeGatewayFleet,
} from "../testing/fake_gateway_fleet.ts";
import { emptyServing, upstreamEntry } from "../testing/gateway_values.ts";
import {
  APPLY_MS,
  DOWN_MS,
  DRAIN_MS,
  E1,
  leaderOf,
  LEAVING,
  openIds,
  over,
  STABLE_MS,
  startedFleet,
  writeMore,
} from "../testing/restored_fleet.ts";

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
