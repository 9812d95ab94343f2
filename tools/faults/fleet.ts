import type { Self } from "../../src/board/self.ts";
import type {
  DaemonId,
  DomainId,
  GroupId,
  Incarnation,
  ServiceId,
  UpstreamId,
  VmId,
} from "../../src/core/id.ts";
import { Random } from "../../src/core/random.ts";
import type { Millis, Timestamp } from "../../src/core/time.ts";
import { CONFIG_STREAM } from "../../src/fold/streams.ts";
import type { Vm } from "../../src/wire/vm_list.ts";
import { type DaemonMutation, DaemonProcess } from "./daemon_process.ts";
import { Facts } from "./facts.ts";
import { FakeEngine } from "./fake_engine.ts";
import { FakeEngineClient } from "./fake_engine_client.ts";
import { FakeLog } from "./fake_log.ts";
import { FakeServiceClient, ServiceBook } from "./fake_service.ts";
import { Network } from "./network.ts";
import { Operators } from "./operators.ts";
import {
  type ArmedFault,
  type CallFault,
  DAEMONS,
  ENGINES,
  SERVICES,
} from "./schedule.ts";
import { loadedBy, servingBy } from "./serving.ts";
import { Timeline } from "./timeline.ts";
import { Trace } from "./trace.ts";
import { Watch } from "./watch.ts";

const START = 1_800_000_000_000 as Timestamp;
const RETENTION_MS: Millis = 80_000;
const LIST_MS: Millis = 1_000;
const LIST_LAG_MS: Millis = 2_000;
const LATE_LIST_LAG_MS: Millis = 15_000;
const POLL_MS: Millis = 500;
const SLOW_POLLS = 8;
const RESTART_MS: Millis = 2_000;
/** Time for which a VM that leaves is still there. */
const LEAVING_MS: Millis = 7_000;
const IDLE_CHECK_MS: Millis = 500;

/** Changes what happens; tests break a mechanism with it. */
export type Mutation =
  & DaemonMutation
  & Readonly<{
    /** Called once the schedule has been played. */
    fleet?: (fleet: Fleet) => void;
  }>;

/** A few real daemons and the fakes around them. */
export class Fleet {
  readonly timeline = Timeline.create(START);
  readonly trace = Trace.create(() => this.timeline.now);
  readonly facts = Facts.create();
  readonly random: Random;
  readonly log: FakeLog;
  readonly network: Network;
  readonly operators: Operators;
  readonly book = ServiceBook.create();
  readonly engines: readonly FakeEngine[];
  /** The newest process of each VM. */
  readonly daemons: DaemonProcess[] = [];
  readonly watch: Watch;
  readonly streamFaults = new Map<UpstreamId, ArmedFault>();
  readonly callFaults = new Map<UpstreamId, CallFault>();
  isListLate = false;
  /** The list that is shown now, and the later ones. */
  readonly #lists: Readonly<{ at: Timestamp; vms: readonly Vm[] }>[] = [];
  #polls = 0;
  #started = 0;
  readonly #mutation: Mutation;

  private constructor(seed: number, mutation: Mutation) {
    this.#mutation = mutation;
    this.random = Random.create(seed);
    this.log = FakeLog.create(this.timeline, this.random, RETENTION_MS);
    this.network = Network.create(
      this.timeline,
      this.random,
      (address) => this.daemonAt(address),
    );
    this.operators = Operators.create(this.log, this.timeline, this.random);
    this.engines = indexes(ENGINES).map((index) => this.#createEngine(index));
    this.watch = Watch.create(this);
    this.#publishFirst();
    for (const vm of indexes(DAEMONS)) this.start(vm);
    this.#list();
    this.#poll();
  }

  static create(seed: number, mutation: Mutation = {}): Fleet {
    return new Fleet(seed, mutation);
  }

  get live(): readonly DaemonProcess[] {
    return this.daemons.filter((daemon) => daemon.isAlive);
  }

  daemonAt(address: string): DaemonProcess | undefined {
    return this.live.find((one) => one.board.self.peerAddress === address);
  }

  /** The daemon of a VM, or the next one that is there. */
  nearest(vm: number): DaemonProcess | undefined {
    return indexes(DAEMONS)
      .map((step) => this.daemons[(vm + step) % DAEMONS])
      .find((daemon) => daemon?.isAlive);
  }

  /** Starts a new process on a VM whose last one is gone. */
  start(vm: number): void {
    if (this.daemons[vm]?.isAlive) return;
    this.#started += 1;
    const self = this.#self(vm, this.#started);
    const daemon = DaemonProcess.create({
      self,
      seed: this.random.below(2 ** 31),
      timeline: this.timeline,
      log: this.log,
      mutation: this.#mutation,
      upstreams: (daemon) => ({
        engine: (address) => this.#engineClient(daemon, address),
        service: (address) => this.#serviceClient(daemon, address),
      }),
      send: (from, intent) => this.network.send(from, intent),
      peers: (daemon) => ({
        runCall: (address, call) => this.network.runCall(daemon, address, call),
      }),
      onIntent: (daemon, intent) => this.watch.intent(daemon, intent),
      onStep: (daemon) => this.watch.step(daemon),
      onExit: (daemon) => this.watch.exited(daemon),
    });
    this.daemons[vm] = daemon;
    this.trace.add(self.id, "starts");
    this.timeline.after(1, () => this.#tellList(daemon));
  }

  /** Ends a VM's process at once; another one starts after `downMs`. */
  kill(vm: number, downMs: Millis): void {
    const daemon = this.daemons[vm];
    if (daemon === undefined || !daemon.isAlive) return;
    daemon.kill();
    this.watch.died(daemon);
    this.timeline.after(downMs, () => this.start(vm));
  }

  /** An engine's VM leaves: what runs ends, then another run comes. */
  leave(engine: FakeEngine): void {
    if (!engine.up || engine.model.leaving) return;
    engine.model.leave();
    this.timeline.after(LEAVING_MS, () => this.#replaceWhenIdle(engine));
  }

  crash(engine: FakeEngine, downMs: Millis): void {
    if (!engine.up) return;
    engine.crash();
    this.timeline.after(downMs, () => this.#restart(engine));
  }

  /** Ends all faults. */
  calm(): void {
    this.log.fault = undefined;
    this.network.fault = undefined;
    this.network.cut.clear();
    this.isListLate = false;
    this.streamFaults.clear();
    this.callFaults.clear();
    for (const daemon of this.live) daemon.thaw();
    for (const engine of this.engines) engine.thaw();
  }

  #publishFirst(): void {
    const text = JSON.stringify(servingBy(0));
    const at = this.timeline.now;
    this.log.put(CONFIG_STREAM, [
      JSON.stringify({
        type: "config_change",
        id: "first",
        base: -1,
        change: "first",
        author: "operator",
        at,
        text,
      }),
    ]);
  }

  #self(vm: number, run: number): Self {
    return {
      id: `d${vm}-${run}` as DaemonId,
      vm: `vm${vm}` as VmId,
      domain: `domain-${vm}` as DomainId,
      clientAddress: `vm${vm}:1`,
      peerAddress: `vm${vm}:2`,
      startedAt: this.timeline.now,
    };
  }

  #createEngine(index: number): FakeEngine {
    const id = `engine-${index}` as UpstreamId;
    return FakeEngine.create(id, this.timeline, {
      loaded: loadedBy(0),
      checksFencing: groupOf(index) === "a",
      onLost: (contents, poison) => {
        this.facts.lose(contents, poison);
        this.trace.add(id, `is lost with ${contents.join(", ") || "nothing"}`);
        if (poison === undefined) return;
        const engine = this.engines[index]!;
        this.timeline.after(RESTART_MS, () => this.#restart(engine));
      },
    });
  }

  #engineClient(daemon: DaemonProcess, address: string): FakeEngineClient {
    const engine = this.engines.find((one) => addressOf(one.id) === address)!;
    return FakeEngineClient.create({
      timeline: this.timeline,
      engine,
      receive: (run) => daemon.receive(run),
      isAlive: () => daemon.isAlive,
      takeFault: () => take(this.streamFaults, engine.id),
      change: this.#mutation.event,
      onStarted: (head) => {
        this.facts.started.add(head.request);
        this.trace.add(engine.id, `runs ${head.request} as ${head.attempt}`);
      },
    });
  }

  #serviceClient(daemon: DaemonProcess, address: string): FakeServiceClient {
    const id = indexes(SERVICES).map(serviceId).find((one) =>
      addressOf(one) === address
    )!;
    return FakeServiceClient.create({
      timeline: this.timeline,
      book: this.book,
      receive: (run) => daemon.receive(run),
      takeFault: () => take(this.callFaults, id),
      onRun: (call) =>
        this.trace.add(id, `runs ${call.request} ${call.key ?? ""}`),
    });
  }

  #restart(engine: FakeEngine): void {
    if (engine.up) return;
    engine.restart();
    this.trace.add(engine.id, "restarts");
  }

  #replaceWhenIdle(engine: FakeEngine): void {
    this.timeline.after(IDLE_CHECK_MS, () => {
      if (!engine.up || !engine.model.leaving) return;
      if (engine.running.length > 0) return this.#replaceWhenIdle(engine);
      engine.crash();
      this.timeline.after(RESTART_MS, () => this.#restart(engine));
    });
  }

  /** Shows each daemon the VM list of some time ago, over and over; it lags, but never goes back. */
  #list(): void {
    const { now } = this.timeline;
    this.#lists.push({ at: now, vms: this.#vms() });
    const lag = this.isListLate ? LATE_LIST_LAG_MS : LIST_LAG_MS;
    const oldest = this.#lists.findLastIndex(({ at }) => at <= now - lag);
    if (oldest > 0) this.#lists.splice(0, oldest);
    for (const daemon of this.live) this.#tellList(daemon);
    this.timeline.after(LIST_MS, () => this.#list());
  }

  #tellList(daemon: DaemonProcess): void {
    const vms = this.#lists[0]?.vms ?? this.#vms();
    daemon.receive(() => daemon.post({ type: "vms_listed", vms }));
  }

  #poll(): void {
    this.#polls += 1;
    for (const daemon of this.live) {
      const { scheduler } = daemon.board.members;
      const isDue = scheduler === daemon.id || this.#polls % SLOW_POLLS === 0;
      for (const engine of this.engines) {
        if (isDue && !daemon.isPaused) this.#ask(daemon, engine);
      }
    }
    this.timeline.after(POLL_MS, () => this.#poll());
  }

  /** Does what `UpstreamPoller` does, in virtual time. */
  #ask(daemon: DaemonProcess, engine: FakeEngine): void {
    const client = this.#engineClient(daemon, addressOf(engine.id));
    const upstream = engine.id;
    if (!daemon.board.upstreams.byId.has(upstream)) return;
    void client.state().then((state) => {
      daemon.post(
        state.isOk()
          ? { type: "state_reported", upstream, state: state.value }
          : { type: "upstream_unreachable", upstream },
      );
    });
    void client.load().then((load) => {
      if (load.isErr()) return;
      daemon.post({ type: "load_reported", upstream, report: load.value });
    });
  }

  #vms(): readonly Vm[] {
    const entries = indexes(DAEMONS).map((vm): Vm => ({
      id: `vm${vm}` as VmId,
      role: "entry",
      domain: `domain-${vm}` as DomainId,
      address: `vm${vm}:2`,
      incarnation: "1" as Incarnation,
      state: "live",
    }));
    const engines = this.engines.map((engine, index): Vm => ({
      id: engine.id as string as VmId,
      role: "engine",
      domain: `domain-${index % DAEMONS}` as DomainId,
      address: addressOf(engine.id),
      incarnation: engine.model.incarnation,
      state: engine.model.leaving ? "leaving" : "live",
      group: groupOf(index),
    }));
    const services = indexes(SERVICES).map((index): Vm => ({
      id: serviceId(index) as string as VmId,
      role: "service",
      domain: `domain-${index}` as DomainId,
      address: addressOf(serviceId(index)),
      incarnation: "1" as Incarnation,
      state: "live",
      service: "stock" as ServiceId,
    }));
    return [...entries, ...engines, ...services];
  }
}

/** Names an instance of the service by its number. */
export function serviceId(index: number): UpstreamId {
  return `stock-${index}` as UpstreamId;
}

function groupOf(engine: number): GroupId {
  return (engine < ENGINES / 2 ? "a" : "b") as GroupId;
}

function addressOf(id: UpstreamId): string {
  return `${id}:1`;
}

function indexes(count: number): readonly number[] {
  return Array.from({ length: count }, (_, index) => index);
}

function take<Key, Value>(map: Map<Key, Value>, key: Key): Value | undefined {
  const value = map.get(key);
  map.delete(key);
  return value;
}
