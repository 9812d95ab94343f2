import { describe, expect, test } from "vitest";
import type { DomainId } from "../core/id.ts";
import type { FakeGateway } from "../testing/fake_gateway_fleet.ts";
import { emptyServing, upstreamEntry } from "../testing/gateway_values.ts";
import {
  APPLY_MS,
  DOWN_MS,
  DRAIN_MS,
  E1,
  E2,
  E9,
  LEAVING,
  openIds,
  over,
  REWRITTEN_MS,
  SETTLE_MS,
  startedFleet,
} from "../testing/restored_fleet.ts";

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
