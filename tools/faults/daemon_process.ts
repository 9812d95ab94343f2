import { Buffer } from "node:buffer";
import type { Blackboard } from "../../src/board/blackboard.ts";
import type { Self } from "../../src/board/self.ts";
import { createCore } from "../../src/controllers/create_core.ts";
import type { Core } from "../../src/core/core.ts";
import type { Event } from "../../src/core/event.ts";
import type { DaemonId } from "../../src/core/id.ts";
import type { Intent } from "../../src/core/intent.ts";
import { Random } from "../../src/core/random.ts";
import type { Millis, Timestamp } from "../../src/core/time.ts";
import { addMs } from "../../src/core/time.ts";
import { AttemptRunner } from "../../src/daemon/attempt_runner.ts";
import { CallForwarder } from "../../src/daemon/call_forwarder.ts";
import type { ExchangeTable } from "../../src/daemon/exchange.ts";
import { OrderRunner } from "../../src/daemon/order_runner.ts";
import {
  type ClientFactory,
  UpstreamClients,
} from "../../src/daemon/upstream_clients.ts";
import type { PeerClients } from "../../src/peer/peer_clients.ts";
import type { EngineEvent } from "../../src/wire/engine.ts";
import type { FakeLog } from "./fake_log.ts";
import type { Timeline } from "./timeline.ts";

/** Changes what happens in a daemon; tests break a mechanism with it. */
export type DaemonMutation = Readonly<{
  intents?: (
    daemon: DaemonProcess,
    intents: readonly Intent[],
  ) => readonly Intent[];
  /** Called after each step. */
  board?: (board: Blackboard) => void;
  /** Changes what comes from an engine, past all checks. */
  event?: (event: EngineEvent) => EngineEvent;
}>;

/** What a daemon is made of, and who watches it. */
export type DaemonProcessParts = Readonly<{
  self: Self;
  seed: number;
  timeline: Timeline;
  log: FakeLog;
  upstreams: (daemon: DaemonProcess) => ClientFactory;
  send: (
    from: DaemonProcess,
    intent: Extract<Intent, { type: "send_peer" }>,
  ) => void;
  peers: (daemon: DaemonProcess) => Pick<PeerClients, "runCall">;
  mutation: DaemonMutation;
  onIntent: (daemon: DaemonProcess, intent: Intent) => void;
  onStep: (daemon: DaemonProcess) => void;
  /** Called when the process ends by itself. */
  onExit: (daemon: DaemonProcess) => void;
}>;

/** Time that open connections get to end by themselves; that of `Daemon`. */
const CLOSE_GRACE_MS = 2_000;
const CLOSE_MS: Millis = 10;

/** One daemon process: a real core and real runners; only the far ends are fakes. */
export class DaemonProcess {
  readonly core: Core;
  readonly exchanges: ExchangeTable = new Map();
  readonly startedAt: Timestamp;
  /** When it last came back from a pause. */
  thawedAt: Timestamp;
  readonly #parts: DaemonProcessParts;
  readonly #runner: AttemptRunner;
  readonly #orders: OrderRunner;
  readonly #forwarder: CallForwarder;
  #events: Event[] = [];
  /** What waits while the process is paused. */
  #held: (() => void)[] = [];
  #pausedUntil = 0 as Timestamp;
  #pauseBeforeSendMs: Millis | undefined;
  /** Grows with each step, so that only the newest timer counts. */
  #wakes = 0;
  #isStepDue = false;
  #isAlive = true;

  private constructor(parts: DaemonProcessParts) {
    this.#parts = parts;
    const { self, timeline } = parts;
    this.startedAt = timeline.now;
    this.thawedAt = timeline.now;
    const random = Random.create(parts.seed);
    const createSecret = () => random.uuid(timeline.now).padEnd(64, "0");
    this.core = createCore(self, random, { createSecret });
    const post = (event: Event) => this.post(event);
    const now = () => timeline.now;
    const loop = () => ({ now, post });
    const { board } = this.core;
    const clients = UpstreamClients.create(parts.upstreams(this));
    const { exchanges } = this;
    this.#runner = AttemptRunner.create({ loop, board, clients, exchanges });
    this.#orders = OrderRunner.create({ loop, board, clients });
    this.#forwarder = CallForwarder.create({
      peers: parts.peers(this),
      exchanges,
      now,
      uuid: () => random.uuid(timeline.now),
      post,
    });
    this.#schedule();
  }

  static create(parts: DaemonProcessParts): DaemonProcess {
    return new DaemonProcess(parts);
  }

  get id(): DaemonId {
    return this.#parts.self.id;
  }

  get board(): Blackboard {
    return this.core.board;
  }

  get forwarder(): CallForwarder {
    return this.#forwarder;
  }

  get runner(): AttemptRunner {
    return this.#runner;
  }

  get isAlive(): boolean {
    return this.#isAlive;
  }

  get isPaused(): boolean {
    return this.#parts.timeline.now < this.#pausedUntil;
  }

  /** Whether nothing waits for the core's next step. */
  get isIdle(): boolean {
    return this.#events.length === 0 && !this.#isStepDue;
  }

  /** Ends the process at once. */
  kill(): void {
    this.#isAlive = false;
    this.#held = [];
  }

  /** Stops the process for `ms`, perhaps only between its next decision and what follows from it. */
  pause(ms: Millis, options: { beforeSend: boolean }): void {
    if (options.beforeSend) this.#pauseBeforeSendMs = ms;
    else this.#pause(ms);
  }

  /** Ends a pause early. */
  thaw(): void {
    this.#pauseBeforeSendMs = undefined;
    this.#pausedUntil = this.#parts.timeline.now;
    this.#thaw();
  }

  /** Something reaches the process from outside: now, after its pause, or never. */
  receive(run: () => void): void {
    if (!this.#isAlive) return;
    if (this.isPaused) this.#held.push(run);
    else run();
  }

  /** Hands the core an event from within the process. */
  post(event: Event): void {
    this.#events.push(event);
    this.#schedule();
  }

  #pause(ms: Millis): void {
    const { timeline } = this.#parts;
    const until = addMs(timeline.now, ms);
    if (until > this.#pausedUntil) this.#pausedUntil = until;
    timeline.after(ms, () => this.#thaw());
  }

  #thaw(): void {
    if (!this.#isAlive || this.isPaused) return;
    this.thawedAt = this.#parts.timeline.now;
    const held = this.#held;
    this.#held = [];
    for (const run of held) this.receive(run);
    this.#schedule();
  }

  #schedule(): void {
    if (this.#isStepDue) return;
    this.#isStepDue = true;
    this.#parts.timeline.after(0, () => {
      this.#isStepDue = false;
      this.#step();
    });
  }

  #step(): void {
    if (!this.#isAlive || this.isPaused) return;
    const { timeline, mutation, onStep } = this.#parts;
    const events = this.#events;
    this.#events = [];
    const result = this.core.step(timeline.now, events);
    this.#armWake(result.wakeAt);
    mutation.board?.(this.board);
    onStep(this);
    const intents = mutation.intents?.(this, result.intents) ?? result.intents;
    if (intents.some(isSend)) this.#pauseNow();
    for (const intent of intents) this.receive(() => this.#perform(intent));
  }

  #pauseNow(): void {
    const ms = this.#pauseBeforeSendMs;
    this.#pauseBeforeSendMs = undefined;
    if (ms !== undefined) this.#pause(ms);
  }

  #armWake(at: Timestamp | undefined): void {
    this.#wakes += 1;
    if (at === undefined) return;
    const turn = this.#wakes;
    const { timeline } = this.#parts;
    timeline.after(Math.max(1, at - timeline.now), () => {
      if (this.#wakes === turn) this.#step();
    });
  }

  #perform(intent: Intent): void {
    const { log, send, onIntent } = this.#parts;
    onIntent(this, intent);
    const tell = (event: Event) => this.receive(() => this.post(event));
    switch (intent.type) {
      case "start_attempt":
        return this.#runner.start(intent);
      case "cancel_attempt":
        return this.#runner.cancel(intent);
      case "answer":
      case "answer_recorded":
        return this.#answer(intent);
      case "append":
        return log.append(intent.stream, intent.records, tell);
      case "read_log":
        return log.read(intent.stream, intent.from, { tell });
      case "send_peer":
        return send(this, intent);
      case "send_order":
        return void this.#orders.order(intent);
      case "reserve_memory":
        return void this.#orders.reserve(intent);
      case "release_memory":
        return void this.#orders.release(intent);
      case "forward_call":
        return void this.#forwarder.send(intent);
      case "exit":
        return this.#exit();
    }
  }

  /** As a real daemon: clients that are there by now get their answers, for a limited time. */
  #exit(until = addMs(this.#parts.timeline.now, CLOSE_GRACE_MS)): void {
    const { timeline, onExit } = this.#parts;
    timeline.after(CLOSE_MS, () =>
      this.receive(() => {
        const isOpen = this.exchanges.size > 0 && timeline.now < until;
        if (isOpen) return this.#exit(until);
        onExit(this);
        this.kill();
      }));
  }

  #answer(
    intent: Extract<Intent, { type: "answer" | "answer_recorded" }>,
  ): void {
    const exchange = this.exchanges.get(intent.req);
    this.exchanges.delete(intent.req);
    if (exchange === undefined) return;
    this.#parts.timeline.unsettle();
    if (intent.type === "answer") {
      if (exchange.kind === "prompt") exchange.writer.fail(intent.problem);
      else exchange.fail(intent.problem);
      return;
    }
    if (exchange.kind !== "call") return;
    exchange.finish({
      status: intent.status,
      contentType: intent.contentType ?? "application/json",
      body: Buffer.from(intent.body),
    });
  }
}

function isSend(intent: Intent): boolean {
  return intent.type === "start_attempt" || intent.type === "append" ||
    intent.type === "send_order" || intent.type === "forward_call";
}
