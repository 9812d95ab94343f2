import { performance } from "node:perf_hooks";
import { type Millis, timerMs, type Timestamp } from "../core/time.ts";
import type { GatewayCore } from "./gateway_core.ts";
import type { GatewayEvent, GatewayIntent } from "./gateway_event.ts";

/** The process counts as suspended if the wall clock gains at least this on the monotonic clock between two steps. */
const MIN_SUSPENSION_MS: Millis = 1_000;

/** A step that is later than this shows that the event loop or the whole VM stood still. */
const STALL_MS: Millis = 100;
/** Most readings of the sockets after a stall; each takes some dozens of datagrams. */
const MAX_READINGS = 16;

/**
 * Steps the core when events arrive and when a timer is due, and performs the resulting intents. Events that are read
 * together share a step. After a stall all that has arrived is read first, since messages that lie unread would count as
 * missing.
 */
export class CoreLoop {
  readonly #core: GatewayCore;
  readonly #perform: (intent: GatewayIntent) => void;
  #events: GatewayEvent[] = [];
  #timer: NodeJS.Timeout | undefined;
  #immediate: NodeJS.Immediate | undefined;
  #wakeAt = Infinity as Timestamp;
  /** Number of events that were queued after each reading of the sockets since a stall. */
  #readings: number[] = [];
  #wallOffsetMs = Date.now() - performance.now();

  private constructor(
    core: GatewayCore,
    perform: (intent: GatewayIntent) => void,
  ) {
    this.#core = core;
    this.#perform = perform;
  }

  static create(
    core: GatewayCore,
    perform: (intent: GatewayIntent) => void,
  ): CoreLoop {
    return new CoreLoop(core, perform);
  }

  /** Monotonic time, in ms since the process started. */
  now(): Timestamp {
    return performance.now() as Timestamp;
  }

  /** Queues an event for the step that follows the current reading of the sockets. */
  push(event: GatewayEvent): void {
    this.#events.push(event);
    this.#schedule();
  }

  step(): void {
    clearImmediate(this.#immediate);
    this.#immediate = undefined;
    this.#readings = [];
    this.#detectSuspension();
    const events = this.#events;
    this.#events = [];
    const { intents, wakeAt } = this.#core.step(this.now(), events);
    this.#wakeAt = wakeAt;
    for (const intent of intents) this.#perform(intent);
    clearTimeout(this.#timer);
    if (wakeAt === Infinity) return;
    const wait = Math.max(1, Math.ceil(wakeAt - this.now()));
    this.#timer = setTimeout(() => this.#schedule(), timerMs(wait));
  }

  /** Timers run before sockets are read, and immediates after that. */
  #schedule(): void {
    this.#immediate ??= setImmediate(() => this.#stepOnceRead());
  }

  #stepOnceRead(): void {
    this.#immediate = undefined;
    const lateMs = this.now() - this.#wakeAt;
    const isLate = lateMs > STALL_MS;
    if (isLate && this.#readings.length === 0) this.#reportStall(lateMs);
    const queued = this.#events.length;
    const isRead = this.#readings.at(-1) === queued ||
      this.#readings.length === MAX_READINGS;
    if (!isLate || isRead) return this.step();
    this.#readings.push(queued);
    this.#schedule();
  }

  /** A stall delays every answer of the daemon, unlike a slow upstream. */
  #reportStall(lateMs: Millis): void {
    const fields = {
      late_ms: Math.round(lateMs),
      events: this.#events.length,
    };
    this.#perform({ type: "line", kind: "loop_stalled", fields });
  }

  /** Reports a suspension, which the wall clock counts and the monotonic clock does not. */
  #detectSuspension(): void {
    const offsetMs = Date.now() - performance.now();
    const suspendedMs = offsetMs - this.#wallOffsetMs;
    this.#wallOffsetMs = offsetMs;
    if (suspendedMs < MIN_SUSPENSION_MS) return;
    this.#events.push({ type: "resumed", suspendedMs: suspendedMs });
  }
}
