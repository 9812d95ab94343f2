import type { AttemptId, RequestId, UpstreamId } from "../../src/core/id.ts";
import type { Event } from "../../src/core/event.ts";
import type { Intent } from "../../src/core/intent.ts";
import type { PromptRequest } from "../../src/core/request.ts";
import { Random } from "../../src/core/random.ts";
import { addMs, SECOND_MS, type Timestamp } from "../../src/core/time.ts";
import type { Envelope } from "../../src/gen/peer.ts";
import type { Vm } from "../../src/wire/vm_list.ts";
import { AttemptRun, NETWORK_MS, type StartAttempt } from "./attempt.ts";
import { VirtualClock } from "./clock.ts";
import { DaemonHost } from "./daemon_host.ts";
import { EngineHost } from "./engine_host.ts";
import {
  CLASS,
  domainOf,
  engineVm,
  LOADED,
  MODEL,
  servingConfig,
  teamId,
} from "./fleet_config.ts";
import { NaivePlacementController } from "./naive_placement_controller.ts";
import { changeMemory, type MemoryIntent } from "./plan_memory.ts";
import type { PromptRecord } from "./prompt_record.ts";
import type { Scenario } from "./scenario.ts";
import type { Arrival } from "./workload.ts";

export const POLICY_NAMES = ["parsleyfield", "naive"] as const;
/** A policy of the measuring tool. */
export type PolicyName = typeof POLICY_NAMES[number];

/** Start of virtual time, far enough from 0 that nothing lies before it. */
const START = 1_000_000_000 as Timestamp;
const POLL_MS = 500;
const VM_LIST_LAG_MS = 3_000;
/** Time for which a client keeps the entry address that it was given. */
const ENTRY_AGE_MS = 10 * SECOND_MS;
/** Time for which all daemons see each other before prompts come. */
const SETTLE_MS = 5 * SECOND_MS;
/** Time after which a client notices that its daemon has died. */
const CLIENT_NOTICE_MS = SECOND_MS;

type Running = Readonly<
  { record: PromptRecord; daemon: DaemonHost; req: PromptRequest }
>;

/** Options of one run. */
export type FleetOptions = Readonly<{
  scenario: Scenario;
  policy: PolicyName;
  seed: number;
  /** Called for the time between two tokens of a measured prompt, in milliseconds. */
  gap: (ms: number) => void;
}>;

/** All daemons and engines of a run, stepped under virtual time. */
export class Fleet {
  readonly clock = VirtualClock.create(START);
  readonly engines = new Map<UpstreamId, EngineHost>();
  readonly daemons: DaemonHost[] = [];
  readonly records: PromptRecord[] = [];
  readonly #options: FleetOptions;
  readonly #random: Random;
  readonly #running = new Map<RequestId, Running>();
  readonly #attempts = new Map<AttemptId, AttemptRun>();
  #enginesLost = 0;
  #enginesCrashed = 0;
  #daemonRuns = 0;
  #requests = 0;
  #retriesOfDead = 0;

  private constructor(options: FleetOptions) {
    this.#options = options;
    this.#random = Random.create(options.seed ^ 0x5eed);
    this.#startEngines();
    for (let i = 0; i < options.scenario.daemons; i += 1) this.#startDaemon(i);
    this.listVms();
    this.#poll();
  }

  static create(options: FleetOptions): Fleet {
    return new Fleet(options);
  }

  get enginesLost(): number {
    return this.#enginesLost;
  }

  /** Engines that a poison prompt crashed, beside those that the table of faults did. */
  get enginesPoisoned(): number {
    return this.#enginesLost - this.#enginesCrashed;
  }

  /** Retries that the daemons have made, those of dead daemons included. */
  get retries(): number {
    return this.daemons.reduce(
      (sum, daemon) => sum + retriesOf(daemon),
      this.#retriesOfDead,
    );
  }

  /** Sends all arrivals; `at` 0 of an arrival is `warmMs` after the fleet has settled. */
  send(arrivals: readonly Arrival[], warmMs: number): Timestamp {
    const zero = addMs(START, SETTLE_MS + warmMs);
    for (const arrival of arrivals) {
      this.clock.at(zero + arrival.at, () => this.arrive(arrival));
    }
    return zero;
  }

  /** Lets one prompt arrive now. */
  arrive(arrival: Arrival): void {
    this.#requests += 1;
    const now = this.clock.now;
    const record: PromptRecord = { arrival, sentAt: now, tokens: 0 };
    this.records.push(record);
    const req: PromptRequest = {
      kind: "prompt",
      id: `request-${this.#requests}` as RequestId,
      team: teamId(arrival.team),
      classId: CLASS,
      arrivedAt: addMs(now, NETWORK_MS),
      deadlineAt: addMs(now, arrival.deadlineMs),
      digest: arrival.digest,
      model: MODEL,
      promptTokens: arrival.promptTokens,
      maxTokens: arrival.maxTokens,
      blocks: arrival.blocks,
    };
    this.#connect(record, req);
  }

  /** Stops a daemon at once; another one takes its VM's place. */
  killDaemon(index: number, downMs: number): void {
    const daemon = this.daemons[index]!;
    daemon.kill();
    this.#retriesOfDead += retriesOf(daemon);
    for (const [id, running] of this.#running) {
      if (running.daemon === daemon) this.#orphan(id, running);
    }
    this.clock.after(downMs, () => {
      this.#startDaemon(index);
      this.listVms();
    });
  }

  crashEngine(id: UpstreamId, downMs: number): void {
    const engine = this.engines.get(id)!;
    if (engine.up) {
      this.#enginesCrashed += 1;
      engine.crash();
    }
    this.clock.after(downMs, () => {
      if (!engine.up) engine.restart();
      this.listVms();
    });
  }

  /** An engine's VM leaves: it finishes what runs, then comes back as another run. */
  leaveEngine(id: UpstreamId, awayMs: number): void {
    const engine = this.engines.get(id)!;
    if (!engine.up) return;
    engine.leave();
    this.listVms();
    this.clock.after(awayMs, () => this.#replaceEngine(engine));
  }

  /** Shows the VM list to all daemons, late. */
  listVms(): void {
    const vms = this.#vms();
    this.clock.after(VM_LIST_LAG_MS, () =>
      this.#tellAll([{
        type: "vms_listed",
        vms,
      }]));
  }

  #vms(): readonly Vm[] {
    const { domains } = this.#options.scenario;
    const engines = [...this.engines.values()].map((engine, index) =>
      engineVm(engine.id, index, {
        domains,
        incarnation: engine.incarnation,
        leaving: engine.leaving,
      })
    );
    const entries = this.daemons.map((daemon, index) => ({
      id: daemon.board.self.vm,
      role: "entry" as const,
      domain: domainOf(index, domains),
      address: daemon.address,
      incarnation: daemon.id as never,
      state: "live" as const,
    }));
    return [...engines, ...entries];
  }

  #startEngines(): void {
    for (let i = 0; i < this.#options.scenario.engines; i += 1) {
      const id = `engine-${String(i).padStart(2, "0")}` as UpstreamId;
      const random = Random.create(this.#options.seed * 1_000 + i);
      const onCrash = () => this.#loseEngine(id);
      const options = { loaded: LOADED, random, onCrash };
      this.engines.set(id, EngineHost.create(id, this.clock, options));
    }
  }

  #startDaemon(index: number): void {
    const { scenario, policy, seed } = this.#options;
    this.#daemonRuns += 1;
    const daemon: DaemonHost = DaemonHost.create({
      index,
      run: this.#daemonRuns,
      domains: scenario.domains,
      seed: seed * 10_000 + this.#daemonRuns,
      serving: servingConfig(scenario),
      placement: policy === "naive"
        ? NaivePlacementController.create(index * 7)
        : undefined,
      handle: (intent) => this.#handle(daemon, intent),
    }, this.clock);
    this.daemons[index] = daemon;
    if (this.#daemonRuns <= scenario.daemons) return;
    daemon.step([{ type: "vms_listed", vms: this.#vms() }]);
  }

  #poll(): void {
    const events: Event[] = [];
    for (const engine of this.engines.values()) {
      const { load, cache } = engine.poll();
      const upstream = engine.id;
      if (!engine.up) {
        events.push({ type: "upstream_unreachable", upstream });
        continue;
      }
      if (load?.incarnation === engine.incarnation) {
        events.push({ type: "load_reported", upstream, report: load });
      }
      if (cache.length > 0) {
        events.push({ type: "cache_reported", upstream, events: cache });
      }
    }
    for (const [index, daemon] of this.daemons.entries()) {
      const phase = (index + 1) * POLL_MS / (this.daemons.length + 1);
      this.clock.after(phase, () => daemon.step(events));
    }
    this.clock.after(POLL_MS, () => this.#poll());
  }

  #tellAll(events: readonly Event[]): void {
    for (const daemon of this.daemons) daemon.step(events);
  }

  /** A client goes to the daemon of its kept entry answer, else to another one. */
  #connect(record: PromptRecord, req: PromptRequest): void {
    const { length } = this.daemons;
    const epoch = Math.floor(this.clock.now / ENTRY_AGE_MS);
    const first = (record.arrival.client * 31 + epoch * 17) % length;
    for (let i = 0; i < length; i += 1) {
      const daemon = this.daemons[(first + i) % length]!;
      if (!daemon.up) continue;
      this.#running.set(req.id, { record, daemon, req });
      this.clock.after(
        NETWORK_MS,
        () => daemon.step([{ type: "request_arrived", req }]),
      );
      return;
    }
    this.#finish(req.id, record, "no_daemon");
  }

  /** The client of a dead daemon comes back: for its running answer, or with its prompt again. */
  #orphan(id: RequestId, running: Running): void {
    const entry = running.daemon.board.requests.byId.get(id);
    const attempt = entry?.attempt;
    if (attempt !== undefined) this.#attempts.get(attempt.id)?.abandon();
    this.clock.after(CLIENT_NOTICE_MS, () => {
      const { record } = running;
      if (record.endedAt !== undefined) return;
      const daemon = this.daemons.find((one) => one.up);
      if (daemon === undefined) return this.#finish(id, record, "no_daemon");
      const { req } = running;
      this.#running.set(id, { record, daemon, req });
      if (attempt === undefined || record.tokens === 0) {
        return daemon.step([{ type: "request_arrived", req }]);
      }
      const { ranUnder } = entry!;
      const upstream = attempt.placement.upstream;
      const { tokens } = record;
      const answer = { attempt: attempt.id, upstream, ranUnder, tokens };
      daemon.step([{ type: "request_resumed", req, running: answer }]);
    });
  }

  #handle(daemon: DaemonHost, intent: Intent): void {
    switch (intent.type) {
      case "start_attempt":
        return this.#start(daemon, intent);
      case "cancel_attempt":
        return this.#attempts.get(intent.attempt)?.cancel();
      case "answer": {
        const { record } = this.#running.get(intent.req) ?? {};
        if (record === undefined) return;
        const { req, problem } = intent;
        return this.clock.after(
          NETWORK_MS,
          () => this.#finish(req, record, problem.code),
        );
      }
      case "send_peer":
        return this.#deliver(daemon, intent.address, intent.envelope);
      case "reserve_memory":
      case "release_memory":
        return this.#changeMemory(daemon, intent);
    }
  }

  #changeMemory(daemon: DaemonHost, intent: MemoryIntent): void {
    const { upstream, plan } = intent;
    this.clock.after(NETWORK_MS, () => {
      const result = changeMemory(this.engines.get(upstream), intent);
      this.clock.after(NETWORK_MS, () => {
        daemon.step([{ type: "reservation_ended", upstream, plan, result }]);
      });
    });
  }

  #deliver(from: DaemonHost, address: string, envelope: Envelope): void {
    this.clock.after(NETWORK_MS, () => {
      const to = this.daemons.find((one) => one.address === address);
      if (to?.up) return to.step([{ type: "peer_message", envelope }]);
      this.clock.after(
        NETWORK_MS,
        () => from.step([{ type: "peer_unreachable", address }]),
      );
    });
  }

  #start(daemon: DaemonHost, intent: StartAttempt): void {
    const { req, attempt } = intent;
    const record = this.#running.get(req)?.record;
    if (record === undefined) return;
    let first = true;
    const run = AttemptRun.create(intent, record, {
      clock: this.clock,
      engines: this.engines,
      events: {
        token: (at) => {
          this.#token(record, at + 2 * NETWORK_MS);
          if (!first) return;
          first = false;
          this.clock.after(
            NETWORK_MS,
            () => daemon.step([{ type: "first_token", req, attempt }]),
          );
        },
        ended: (outcome) => {
          this.#attempts.delete(attempt);
          daemon.step([{ type: "attempt_ended", req, attempt, outcome }]);
          if (outcome.type === "ok") this.#finish(req, record, "ok");
        },
      },
    });
    this.#attempts.set(attempt, run);
    run.start();
  }

  #token(record: PromptRecord, at: number): void {
    record.tokens += 1;
    record.firstTokenAt ??= at;
    if (record.arrival.measured && record.lastTokenAt !== undefined) {
      this.#options.gap(at - record.lastTokenAt);
    }
    record.lastTokenAt = at;
  }

  #finish(id: RequestId, record: PromptRecord, result: string): void {
    this.#running.delete(id);
    if (record.endedAt !== undefined) return;
    record.endedAt = this.clock.now + NETWORK_MS;
    record.result = result;
  }

  #loseEngine(id: UpstreamId): void {
    this.#enginesLost += 1;
    for (const run of this.#attempts.values()) run.engineLost(id);
  }

  #replaceEngine(engine: EngineHost): void {
    if (!engine.idle) {
      this.clock.after(SECOND_MS, () => this.#replaceEngine(engine));
      return;
    }
    engine.restart();
    this.listVms();
  }

  /** A draw for the table of faults. */
  below(bound: number): number {
    return this.#random.below(bound);
  }
}

function retriesOf(daemon: DaemonHost): number {
  const { retried } = daemon.board.counters;
  return Object.values(retried).reduce((sum, count) => sum + count, 0);
}
