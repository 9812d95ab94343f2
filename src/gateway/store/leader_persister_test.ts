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
