import { Buffer } from "node:buffer";
import { expect, test } from "vitest";
import type { Revision } from "../core/id.ts";
import { CONFIG_STREAM } from "../fold/streams.ts";
import { FakeFleet } from "../testing/fake_fleet.ts";

const RETENTION_MS = 80_000;

function configText(deadlineMs: number): string {
  return JSON.stringify({
    models: [],
    groups: [],
    services: [],
    teams: [],
    classes: [{ id: "c", urgency: 0, deadlineMs, maxDeadlineMs: 5_000 }],
    limits: {
      keyWindowMs: 60_000,
      clockSkewMs: 1_000,
      configFreshnessMs: 20_000,
    },
  });
}

function createFleet(): FakeFleet {
  const fleet = FakeFleet.create({
    seed: 7,
    daemons: 3,
    retentionMs: RETENTION_MS,
    config: configText(1),
  });
  fleet.time.run(6_000);
  return fleet;
}

/** Returns the revision and deadline in force on each daemon, and whether its configuration is stale. */
function inForce(fleet: FakeFleet): readonly string[] {
  return fleet.daemons.map((daemon) => {
    const { revision, serving, stale } = daemon.core.board.config;
    const { deadlineMs } = serving?.classes[0] ?? {};
    return `${revision}:${deadlineMs}${stale ? " stale" : ""}`;
  });
}

/** Returns how often each daemon has put a configuration in force. */
function appliedCounts(fleet: FakeFleet): readonly number[] {
  return fleet.daemons.map((daemon) =>
    daemon.core.board.counters.counted.config_taken
  );
}

test("of two concurrent changes the same one is in force on all daemons within a second", () => {
  const fleet = createFleet();
  const winner = fleet.publish(0 as Revision, configText(2));
  fleet.publish(0 as Revision, configText(3));
  fleet.time.run(1_000);
  expect(new Set(inForce(fleet))).toEqual(new Set([`${winner}:2`]));
});

test("a change outlives the log's retention, and a late checkpoint of a paused daemon does not revert it", () => {
  const fleet = createFleet();
  const winner = fleet.publish(0 as Revision, configText(2));
  const [pausedCheckpoint] = fleet.log.history.get(CONFIG_STREAM)!
    .filter((record) => record.value.includes("config_checkpoint"));
  fleet.time.run(3 * RETENTION_MS);
  expect(pausedCheckpoint).toBeDefined();
  fleet.log.put(CONFIG_STREAM, [
    pausedCheckpoint!.value.replace(/"id":"/, '"id":"late'),
  ]);
  for (const vm of [0, 1, 2]) fleet.kill(vm, 100);
  fleet.time.run(10_000);
  expect(new Set(inForce(fleet))).toEqual(new Set([`${winner}:2`]));
});

test("a change that is published again after its response was lost is in force once", () => {
  const fleet = createFleet();
  const first = fleet.publish(0 as Revision, configText(2), "same");
  fleet.publish(0 as Revision, configText(2), "same");
  fleet.time.run(1_000);
  expect(new Set(inForce(fleet))).toEqual(new Set([`${first}:2`]));
});

test("a daemon that starts during a log outage gets the configuration from its peers, and no daemon goes stale", () => {
  const fleet = createFleet();
  fleet.log.mode = "silent";
  fleet.kill(0, 500);
  fleet.time.run(8_000);
  expect(inForce(fleet)).toEqual(["0:1", "0:1", "0:1"]);
  fleet.time.run(120_000);
  expect(inForce(fleet)).toEqual(["0:1", "0:1", "0:1"]);
});

test("a daemon cut off from its peers stays fresh, cut off also from the log it goes stale until it reconnects", () => {
  const fleet = createFleet();
  fleet.cutOff(0, 60_000);
  fleet.time.run(30_000);
  expect(inForce(fleet)).toEqual(["0:1", "0:1", "0:1"]);
  fleet.log.mode = "down";
  fleet.time.run(25_000);
  expect(inForce(fleet)).toEqual(["0:1 stale", "0:1", "0:1"]);
  fleet.time.run(10_000);
  expect(inForce(fleet)).toEqual(["0:1", "0:1", "0:1"]);
});

test("a late heartbeat with an older configuration does not revert the newer one", () => {
  const fleet = createFleet();
  const winner = fleet.publish(0 as Revision, configText(2));
  fleet.time.run(1_000);
  const heartbeat = {
    vm: "vm9",
    state: "serving",
    peerAddress: "peer9",
    clientAddress: "",
    domain: "a",
    revision: 0,
    config: Buffer.from(configText(1)),
    configOffset: 1,
    running: 0,
    queued: 0,
    teams: [],
    upstreams: [],
    suspects: [],
    atMs: 0,
  };
  const envelope = {
    from: "d9",
    seq: 1,
    body: { $case: "heartbeat" as const, value: heartbeat as never },
  };
  for (const daemon of fleet.daemons) {
    daemon.deliver({ type: "peer_message", envelope });
  }
  const before = appliedCounts(fleet);
  fleet.time.run(1_000);
  expect(new Set(inForce(fleet))).toEqual(new Set([`${winner}:2`]));
  expect(appliedCounts(fleet)).toEqual(before);
});

test("an invalid configuration is not put in force, and the next valid one is", () => {
  const fleet = createFleet();
  const broken = fleet.publish(0 as Revision, "{}");
  fleet.time.run(1_000);
  expect(inForce(fleet)[0]).toBe("0:1");
  const next = fleet.publish(broken as number as Revision, configText(4));
  fleet.time.run(1_000);
  expect(inForce(fleet)[0]).toBe(`${next}:4`);
});
