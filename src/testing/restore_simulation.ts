import type { DomainId, UpstreamId } from "../core/id.ts";
import { Random } from "../core/random.ts";
import { addMs, type Millis, type Timestamp } from "../core/time.ts";
import type { UpstreamEntry } from "../gateway/upstreams/upstream_table.ts";
import { type FakeGateway, FakeGatewayFleet } from "./fake_gateway_fleet.ts";
import { emptyServing, upstreamEntry } from "./gateway_values.ts";

const START_MS: Millis = 6_000;
const TICK_MS: Millis = 100;
const HEARTBEAT_MS: Millis = 1_200;
/** Missed heartbeats after which the register drops an entry. */
const LAPSE_MS: Millis = 3 * HEARTBEAT_MS;
/** Longest time after a restore until the operator writes again what was lost. */
const OPERATOR_MS: Millis = 2_000;
const MAX_COPY_AGE_MS: Millis = 25_000;
const MAX_DOWN_MS: Millis = 1_500;
/** Time without a fault of the store, and of a daemon, after which the platform's bounds hold. */
const STABLE_MS: Millis = 3_000;
const DRAIN_MS: Millis = 2_000;
const MAX_TROUBLE_MS: Millis = 4_000;
/** Time without faults at the end, after which all daemons agree with the store. */
const END_MS: Millis = 12_000;
const DOMAIN = "b" as DomainId;

/** An upstream's process, as it is in truth. */
type Process = {
  readonly entry: UpstreamEntry;
  state: "ready" | "leaving" | "gone";
  nextBeatAt: Timestamp;
  goneAt: Timestamp;
};

/** A leave or removal that a stable store has acknowledged. */
type Acknowledged = Readonly<{ id: UpstreamId; start: number; at: Timestamp }>;

/** Size, seed and length of a simulation. */
export type RestoreSimulationOptions = Readonly<{
  seed: number;
  daemons: number;
  upstreams: number;
  steps: number;
  /**
   * Whether one daemon runs the last release, which knows no eras. No daemon is started again then: one that has not
   * seen a restore itself can't tell that positions without an era are older.
   */
  mixed: boolean;
}>;

/**
 * A fleet whose store is restored from older copies again and again, while upstreams join, leave and start again, the
 * operator writes, and daemons start, freeze and are cut off. Upstreams and operator write again what was lost.
 */
export class RestoreSimulation {
  readonly #fleet: FakeGatewayFleet;
  readonly #random: Random;
  readonly #mixed: boolean;
  readonly #processes: Process[] = [];
  readonly #acknowledged: Acknowledged[] = [];
  /** Processes that each daemon has known to be closed. */
  readonly #knownClosed = new Map<FakeGateway, Set<string>>();
  readonly #versions = new Map<FakeGateway, number>();
  /** When the last trouble of the store, and of each daemon, ended. */
  #storeSoundAt = 0 as Timestamp;
  readonly #soundAt = new Map<FakeGateway, Timestamp>();
  #version = 1;
  #evacuated = false;
  #operatorWritesAt = Infinity;
  #starts = 0;
  readonly violations: string[] = [];

  private constructor(options: RestoreSimulationOptions) {
    this.#random = Random.create(options.seed);
    this.#mixed = options.mixed;
    this.#fleet = FakeGatewayFleet.create(options.daemons);
    this.#fleet.publish(emptyServing(1));
    for (let i = 0; i < options.upstreams; i += 1) this.#join(`e${i}`);
    if (options.mixed) this.#fleet.gateways[0]!.lastRelease = true;
  }

  /** Runs a simulation; returns what was violated. */
  static run(options: RestoreSimulationOptions): readonly string[] {
    const simulation = new RestoreSimulation(options);
    simulation.#pass(START_MS);
    for (let i = 0; i < options.steps; i += 1) {
      simulation.#act();
      simulation.#pass(TICK_MS * (1 + simulation.#random.below(15)));
    }
    simulation.#end();
    return simulation.violations;
  }

  /** Lets time pass, with the heartbeats of upstreams and all checks. */
  #pass(ms: Millis): void {
    const end = addMs(this.#now, ms);
    while (this.#now < end) {
      this.#beat();
      this.#fleet.time.run(TICK_MS);
      this.#check();
    }
  }

  get #now(): Timestamp {
    return this.#fleet.time.now;
  }

  #act(): void {
    const { gateways } = this.#fleet;
    const gateway = gateways[this.#random.below(gateways.length)]!;
    const ready = this.#processes.filter(({ state }) => state === "ready");
    const process = ready[this.#random.below(ready.length)];
    const forMs = 300 + this.#random.below(MAX_TROUBLE_MS);
    switch (this.#random.below(13)) {
      case 0:
      case 1:
        return this.#restore();
      case 2:
      case 3:
      case 4:
        if (process !== undefined && ready.length > 3) this.#leave(process);
        return;
      case 5:
        if (process !== undefined && ready.length > 3) this.#remove(process);
        return;
      case 6:
        if (process !== undefined) this.#restart(process);
        return;
      case 7:
      case 8:
        return this.#join(`n${this.#starts}`);
      case 9:
        this.#version += 1 + this.#random.below(3);
        this.#operatorWritesAt = this.#now;
        return;
      case 10:
        this.#evacuated = !this.#evacuated;
        this.#operatorWritesAt = this.#now;
        return;
      case 11:
        if (!this.#mixed) this.#startAgain(gateway);
        return;
      case 12:
        return this.#disturb(gateway, forMs);
    }
  }

  #restore(): void {
    const copyAgeMs = this.#random.below(MAX_COPY_AGE_MS);
    const downMs = this.#random.below(MAX_DOWN_MS);
    // The copy has at least the first configuration, and the upstreams of the start.
    const oldest = this.#now + downMs - 1_000_000 - 1_000;
    this.#storeSoundAt = Infinity as Timestamp;
    this.#fleet.storeDown = true;
    this.#pass(downMs);
    this.#fleet.restoreStore(Math.min(copyAgeMs, oldest));
    this.#storeSoundAt = this.#now;
    this.#operatorWritesAt = addMs(
      this.#now,
      this.#random.below(OPERATOR_MS),
    );
  }

  #startAgain(gateway: FakeGateway): void {
    const started = this.#fleet.restart(gateway);
    started.lastRelease = gateway.lastRelease;
    this.#soundAt.set(started, this.#now);
  }

  /** Cuts a daemon off, freezes it, or lets the store refuse it, for some time. */
  #disturb(gateway: FakeGateway, forMs: Millis): void {
    if (gateway.cut || gateway.frozen || gateway.storeRefuses) return;
    const kind = this.#random.below(3);
    if (kind === 0) gateway.cut = true;
    else if (kind === 1) gateway.frozen = true;
    else gateway.storeRefuses = true;
    this.#soundAt.set(gateway, Infinity as Timestamp);
    this.#fleet.time.schedule(forMs, () => {
      if (!this.#fleet.gateways.includes(gateway)) return;
      gateway.cut = false;
      gateway.storeRefuses = false;
      if (gateway.frozen) this.#fleet.unfreeze(gateway);
      this.#soundAt.set(gateway, this.#now);
    });
  }

  #join(id: string): void {
    this.#starts += 1;
    this.#processes.push({
      entry: upstreamEntry(id, { startedAt: this.#starts }),
      state: "ready",
      nextBeatAt: this.#now,
      goneAt: Infinity as Timestamp,
    });
  }

  #leave(process: Process): void {
    process.state = "leaving";
    process.nextBeatAt = this.#now;
    process.goneAt = addMs(this.#now, DRAIN_MS + this.#random.below(DRAIN_MS));
    this.#beat();
  }

  #remove(process: Process): void {
    process.goneAt = this.#now;
    this.#beat();
  }

  #restart(process: Process): void {
    process.state = "gone";
    process.goneAt = this.#now;
    this.#join(process.entry.id);
  }

  /** Lets upstreams and operator write what the store doesn't have, and the entries of silent ones lapse. */
  #beat(): void {
    if (this.#fleet.storeDown) return;
    const listed = new Map(
      this.#fleet.store.entries().flatMap((change) =>
        change.type === "entry"
          ? [[change.entry.id, change.entry] as const]
          : []
      ),
    );
    for (const process of this.#processes) {
      const { entry, nextBeatAt, goneAt } = process;
      const stated = listed.get(entry.id);
      const isListed = stated?.startedAt === entry.startedAt;
      if (process.state !== "gone" && goneAt <= this.#now) {
        process.state = "gone";
        if (isListed) this.#writeGone(process);
        continue;
      }
      if (process.state === "gone") {
        const silentSince = Math.max(goneAt, this.#storeSoundAt);
        if (isListed && this.#now - silentSince > LAPSE_MS) {
          this.#writeGone(process);
        }
        continue;
      }
      if (nextBeatAt > this.#now) continue;
      process.nextBeatAt = addMs(this.#now, HEARTBEAT_MS);
      const leaving = process.state === "leaving";
      if (isListed && stated.leaving === leaving) continue;
      this.#fleet.register({ type: "entry", entry: { ...entry, leaving } });
      if (leaving) this.#acknowledge(process);
    }
    if (this.#operatorWritesAt <= this.#now) this.#operate();
  }

  #writeGone(process: Process): void {
    this.#fleet.register({ type: "gone", id: process.entry.id });
    this.#acknowledge(process);
  }

  #acknowledge({ entry: { id, startedAt: start } }: Process): void {
    if (this.#now - this.#storeSoundAt < STABLE_MS) return;
    this.#acknowledged.push({ id, start, at: this.#now });
  }

  #operate(): void {
    this.#operatorWritesAt = Infinity;
    this.#fleet.publish(emptyServing(this.#version));
    this.#fleet.evacuate(DOMAIN, this.#evacuated);
  }

  #check(): void {
    const seconds = (this.#now - 1_000_000) / 1_000;
    const fail = (text: string) =>
      this.violations.push(`${seconds.toFixed(1)} s: ${text}`);
    for (const gateway of this.#fleet.gateways) {
      if (gateway.frozen || gateway.lastRelease) continue;
      const { register, serving } = gateway.core.board;
      const { vm } = gateway.card;
      const before = this.#versions.get(gateway) ?? 0;
      if (serving.version < before) {
        fail(`${vm} went from version ${before} to ${serving.version}`);
      }
      this.#versions.set(gateway, serving.version);
      const closed = this.#knownClosed.get(gateway) ?? new Set();
      this.#knownClosed.set(gateway, closed);
      for (const { entry: { id, startedAt }, state } of this.#processes) {
        const known = register.table.get(id);
        const isOpen = known?.startedAt === startedAt && !known.leaving;
        const isClosed = !isOpen && register.table.startedAt(id) >= startedAt;
        const key = `${id}/${startedAt}`;
        if (isClosed) closed.add(key);
        else if (isOpen && closed.has(key)) {
          if (state === "ready") fail(`${vm} had closed ${key}`);
          else fail(`${vm} opened ${key} again`);
          closed.delete(key);
        }
      }
      const soundAt = this.#soundAt.get(gateway) ?? 0;
      for (const { id, start, at } of this.#acknowledged) {
        const isBound = at - soundAt >= STABLE_MS &&
          at > this.#storeSoundAt && this.#now >= at + DRAIN_MS;
        const known = register.table.get(id);
        if (isBound && known?.startedAt === start && !known.leaving) {
          fail(`${vm} has ${id}/${start} open, closed at ${at}`);
        }
      }
    }
  }

  /** Ends all trouble, and compares all daemons with the truth. */
  #end(): void {
    for (const gateway of this.#fleet.gateways) {
      gateway.cut = false;
      gateway.storeRefuses = false;
      if (gateway.frozen) this.#fleet.unfreeze(gateway);
    }
    this.#pass(END_MS);
    const open = this.#processes.filter(({ state }) => state === "ready")
      .map(({ entry }) => `${entry.id}/${entry.startedAt}`).sort().join(" ");
    for (const gateway of this.#fleet.gateways) {
      if (gateway.lastRelease) continue;
      const { register, serving } = gateway.core.board;
      const known = register.table.all().filter(({ leaving }) => !leaving)
        .map(({ id, startedAt }) => `${id}/${startedAt}`).sort().join(" ");
      const state = `${known}, version ${serving.version}, ` +
        `evacuated ${serving.evacuated.has(DOMAIN)}`;
      const truth =
        `${open}, version ${this.#version}, evacuated ${this.#evacuated}`;
      if (state !== truth) {
        this.violations.push(`${gateway.card.vm} has ${state}; true: ${truth}`);
      }
    }
  }
}
