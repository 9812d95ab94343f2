import { performance } from "node:perf_hooks";
import { type Millis, timerMs, type Timestamp } from "../core/time.ts";
import type { GatewayCore } from "./gateway_core.ts";
import type { GatewayEvent, GatewayIntent } from "./gateway_event.ts";

/** The process counts as suspended if the wall clock gains at least this on the monotonic clock between two steps. */
const MIN_SUSPENSION_MS: Millis = 1_000;

/** Steps the core when events arrive and when a timer is due, and performs the resulting intents. */
export class CoreLoop {
  readonly #core: GatewayCore;
  readonly #perform: (intent: GatewayIntent) => void;
  #events: GatewayEvent[] = [];
  #scheduled = false;
  #timer: NodeJS.Timeout | undefined;
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

  /** Queues an event; events pushed in the same tick share one step. */
  push(event: GatewayEvent): void {
    this.#events.push(event);
    if (this.#scheduled) return;
    this.#scheduled = true;
    queueMicrotask(() => this.step());
  }

  step(): void {
    this.#scheduled = false;
    this.#detectSuspension();
    const events = this.#events;
    this.#events = [];
    const { intents, wakeAt } = this.#core.step(this.now(), events);
    for (const intent of intents) this.#perform(intent);
    clearTimeout(this.#timer);
    if (wakeAt === Infinity) return;
    const wait = Math.max(1, Math.ceil(wakeAt - this.now()));
    this.#timer = setTimeout(() => this.step(), timerMs(wait));
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
