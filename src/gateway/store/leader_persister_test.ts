import { describe, expect, test } from "vitest";
import type { Millis } from "../../core/time.ts";
import type { FakeGatewayFleet } from "../../testing/fake_gateway_fleet.ts";
import {
  leaderOf,
  SETTLE_MS,
  startedFleet,
} from "../../testing/restored_fleet.ts";

const DAEMONS = 4;
/** Time of a write at the store, of its response, and until the leader may send the next one. */
const WRITE_MS: Millis = 150;

/** Records at the leader that a content has crashed two upstreams. */
function quarantine(fleet: FakeGatewayFleet, digest: string): void {
  const lost = [`${digest}-1/1`, `${digest}-2/1`];
  const record = { digest, epoch: 0, lost, trials: 0, ageMs: 0 };
  const leader = leaderOf(fleet);
  leader.core.board.contents.suspects.merge([record], fleet.time.now);
  fleet.step(leader, []);
}

/** Starts all daemons again, without what they knew; returns the crashes of a content as the new leader knows them. */
function restartAll(fleet: FakeGatewayFleet): (digest: string) => number {
  for (const gateway of [...fleet.gateways]) fleet.remove(gateway);
  const names = Array.from({ length: DAEMONS }, (_, i) => `vm-${i}`);
  for (const name of names) fleet.add(name, names.map((one) => `${one}:1`));
  fleet.time.run(SETTLE_MS);
  const { suspects } = leaderOf(fleet).core.board.contents;
  return (digest) => suspects.crashes(digest);
}

// Guards against a request that crashes upstreams again, as the record of it waited for an earlier one's.
describe("what was quarantined shortly after something else was forgotten when all daemons were killed", () => {
  test.each([2, 3, 5, 10])("%i within a second", (count) => {
    const fleet = startedFleet(DAEMONS);
    const digests = Array.from({ length: count }, (_, i) => `poison-${i}`);
    for (const digest of digests) {
      quarantine(fleet, digest);
      fleet.time.run(1_000 / count);
    }
    fleet.time.run(WRITE_MS);
    const crashes = restartAll(fleet);
    expect(digests.map(crashes)).toEqual(digests.map(() => 2));
  });

  test("while the store fails, it gets few calls", () => {
    const fleet = startedFleet(DAEMONS);
    fleet.storeDown = true;
    const before = leaderOf(fleet).storeWrites;
    for (let i = 0; i < 50; i += 1) {
      quarantine(fleet, `poison-${i}`);
      fleet.time.run(100);
    }
    expect(leaderOf(fleet).storeWrites - before).toBeLessThanOrEqual(4);
    fleet.storeDown = false;
    fleet.time.run(2_500);
    expect(restartAll(fleet)("poison-49")).toBe(2);
  });
});

// Guards against an older list that replaces a newer one, as a call without a response may be executed seconds later.
describe("a write that is carried out late replaced a newer one", () => {
  const delays = [50, 150, 400, 900, 1_500, 3_000, 5_000];

  test.each(delays)("of the same leader, after %i ms", (delayMs) => {
    const fleet = startedFleet(DAEMONS);
    leaderOf(fleet).lateWriteMs = delayMs;
    quarantine(fleet, "first");
    fleet.time.run(10);
    leaderOf(fleet).lateWriteMs = 0;
    quarantine(fleet, "second");
    fleet.time.run(SETTLE_MS);
    const crashes = restartAll(fleet);
    expect([crashes("first"), crashes("second")]).toEqual([2, 2]);
  });

  test.each(
    delays.flatMap((delayMs) =>
      [0, 300, 1_500].map((killMs) => [delayMs, killMs] as const)
    ),
  )(
    "of a leader that has ended, after %i ms, ended after %i ms",
    (delayMs, killMs) => {
      const fleet = startedFleet(DAEMONS);
      const old = leaderOf(fleet);
      old.lateWriteMs = delayMs;
      quarantine(fleet, "first");
      fleet.time.run(killMs);
      fleet.remove(old);
      fleet.time.run(SETTLE_MS / 2);
      quarantine(fleet, "second");
      fleet.time.run(SETTLE_MS);
      const crashes = restartAll(fleet);
      expect(crashes("second")).toBe(2);
    },
  );

  test("and what another daemon wrote meanwhile is kept", () => {
    const fleet = startedFleet(DAEMONS);
    const lost = ["e7/1", "e8/1"];
    const record = { digest: "other", epoch: 0, lost, trials: 0, ageMs: 0 };
    quarantine(fleet, "first");
    fleet.time.run(500);
    fleet.store.contents.write([record], fleet.time.now);
    quarantine(fleet, "second");
    fleet.time.run(2_000);
    const crashes = restartAll(fleet);
    expect(["first", "other", "second"].map(crashes)).toEqual([2, 2, 2]);
  });
});

test("a write that is under way held back a newer one", () => {
  const fleet = startedFleet(DAEMONS);
  const leader = leaderOf(fleet);
  // The first write is carried out after the second one was sent.
  leader.lateWriteMs = 250;
  quarantine(fleet, "first");
  fleet.time.run(5);
  leader.lateWriteMs = 400;
  quarantine(fleet, "second");
  fleet.time.run(600);
  const crashes = restartAll(fleet);
  expect([crashes("first"), crashes("second")]).toEqual([2, 2]);
});
