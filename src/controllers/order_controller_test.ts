import { expect, test } from "vitest";
import type { Revision } from "../core/id.ts";
import { FakeEngine } from "../testing/fake_engine.ts";
import { FakeFleet } from "../testing/fake_fleet.ts";

const RETENTION_MS = 80_000;

function config(version: string, checksFencing: boolean): string {
  const weights = { model: "m", version, adapters: [] };
  return JSON.stringify({
    models: [{ id: "m", versions: ["v1", "v2"], version, adapters: [] }],
    groups: [{
      id: "g",
      loaded: [weights],
      checksFencing,
      orderDelayMs: 2_000,
    }],
    services: [],
    teams: [],
    classes: [{ id: "c", urgency: 0, deadlineMs: 5_000, maxDeadlineMs: 5_000 }],
    limits: { keyWindowMs: 60_000, clockSkewMs: 1_000 },
  });
}

class OrderFixture {
  readonly engines: readonly FakeEngine[];
  readonly fleet: FakeFleet;
  readonly #checksFencing: boolean;

  constructor(engines: number, checksFencing = false) {
    this.#checksFencing = checksFencing;
    this.engines = Array.from(
      { length: engines },
      (_, index) => FakeEngine.create(`e${index}`, "g", { checksFencing }),
    );
    this.fleet = FakeFleet.create({
      seed: 5,
      daemons: 3,
      retentionMs: RETENTION_MS,
      config: config("v1", checksFencing),
      engines: this.engines,
    });
  }

  /** Runs for `ms` and calls `check` every 100 ms. */
  run(ms: number, check: () => void = () => {}): void {
    for (let at = 0; at < ms; at += 100) {
      this.fleet.time.run(100);
      check();
    }
  }

  publish(version: string): void {
    const { revision } = this.fleet.daemons[0]!.core.board.config;
    this.fleet.publish(
      revision as Revision,
      config(version, this.#checksFencing),
    );
  }

  state(engine: FakeEngine): string {
    const { loaded, loading } = engine.state(this.fleet.time.now);
    const parts = loaded.map((weights) => weights.version as string);
    return [...parts, ...loading.map((it) => `${it.version}?`)].join(" ");
  }

  states(): readonly string[] {
    return this.engines.map((engine) => this.state(engine));
  }

  holder() {
    return this.fleet.daemons.find((daemon) =>
      daemon.alive && daemon.core.board.orders.held.length > 0
    );
  }

  countAll(name: "orders_sent" | "orders_stale"): number {
    return this.fleet.daemons.reduce(
      (sum, daemon) => sum + daemon.core.board.counters.counted[name],
      0,
    );
  }

  /** Freezes the lease holder after it decided on its first orders and before it sends them. */
  freezeBeforeSending(ms: number): void {
    let frozen = false;
    for (let at = 0; at < 60_000 && !frozen; at += 1) {
      this.fleet.time.run(1, () => {
        if (frozen || this.countAll("orders_sent") === 0) return;
        this.holder()!.freeze(ms);
        frozen = true;
      });
    }
  }
}

test("engines are loaded two at a time until all report the configured version", () => {
  const scene = new OrderFixture(6);
  let most = 0;
  scene.run(60_000, () => {
    const loading = scene.states().filter((state) => state.includes("?"));
    most = Math.max(most, loading.length);
  });
  expect([most, scene.states()]).toMatchInlineSnapshot(`
    [
      2,
      [
        "v1",
        "v1",
        "v1",
        "v1",
        "v1",
        "v1",
      ],
    ]
  `);
});

test.each([1, 3])(
  "a rollout of a new version on %i engines never leaves the model unloaded",
  (engines) => {
    const scene = new OrderFixture(engines);
    scene.run(45_000);
    scene.publish("v2");
    scene.run(80_000, () => {
      const up = scene.states().filter((state) => /v\d(?!\?)/.test(state));
      expect(up.length).toBeGreaterThan(0);
    });
    expect(new Set(scene.states())).toEqual(new Set(["v2"]));
  },
);

test.each([true, false])(
  "orders of a holder frozen between check and send are repaired (engines check fencing: %s)",
  (checksFencing) => {
    const scene = new OrderFixture(3, checksFencing);
    scene.freezeBeforeSending(110_000);
    scene.publish("v2");
    scene.run(100_000);
    expect(scene.states()).toEqual(["v2", "v2", "v2"]);
    scene.run(11_000);
    const after = scene.states();
    scene.run(60_000);
    expect(scene.states()).toEqual(["v2", "v2", "v2"]);
    expect(scene.countAll("orders_stale") > 0).toBe(checksFencing);
    expect(after.some((state) => state.includes("v1"))).toBe(!checksFencing);
  },
);

test("the effect of an old order that arrives after a newer one is repaired from the engine's reports", () => {
  const scene = new OrderFixture(2);
  scene.engines[0]!.delayNext(70_000);
  scene.run(40_000);
  scene.publish("v2");
  scene.run(20_000);
  scene.fleet.kill(scene.fleet.daemons.indexOf(scene.holder()!), 200);
  scene.run(140_000);
  expect(scene.states()).toEqual(["v2", "v2"]);
});

test("two daemons never hold a lease at once while daemons freeze and the log fails", () => {
  const scene = new OrderFixture(2);
  const check = () => {
    const holders = scene.fleet.daemons.filter((daemon) =>
      daemon.alive && !daemon.frozen && daemon.core.board.orders.held.length > 0
    );
    expect(holders.length).toBeLessThan(2);
  };
  for (const [vm, ms] of [[0, 40_000], [1, 70_000], [2, 20_000]] as const) {
    scene.fleet.daemons[vm]!.freeze(ms);
    scene.run(50_000, check);
    scene.fleet.log.mode = "deaf";
    scene.run(8_000, check);
    scene.fleet.log.mode = "down";
    scene.run(45_000, check);
    scene.fleet.log.mode = "up";
    scene.run(50_000, check);
  }
  expect(scene.holder()).toBeDefined();
});
