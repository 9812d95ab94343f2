import {
  clearImmediate,
  clearTimeout,
  setImmediate,
  setTimeout,
} from "node:timers";
import type { Core } from "../core/core.ts";
import type { Event } from "../core/event.ts";
import type { Intent } from "../core/intent.ts";
import type { Timestamp } from "../core/time.ts";
import type { Clock } from "./clock.ts";

/** What the loop runs and where its intents go. */
export type LoopParts = Readonly<
  { core: Core; clock: Clock; perform: (intent: Intent) => void }
>;

/** Steps the core whenever events have come or a timer is due; the daemon's only loop. */
export class Loop {
  readonly #parts: LoopParts;
  #events: Event[] = [];
  #immediate: NodeJS.Immediate | undefined;
  #timer: NodeJS.Timeout | undefined;
  #stopped = false;

  private constructor(parts: LoopParts) {
    this.#parts = parts;
  }

  static create(parts: LoopParts): Loop {
    return new Loop(parts);
  }

  get core(): Core {
    return this.#parts.core;
  }

  get clock(): Clock {
    return this.#parts.clock;
  }

  now(): Timestamp {
    return this.#parts.clock.now();
  }

  /** Hands an event to the next step; events that come together share one. */
  post(event: Event): void {
    this.#events.push(event);
    this.#schedule();
  }

  start(): void {
    this.#schedule();
  }

  stop(): void {
    this.#stopped = true;
    clearTimeout(this.#timer);
    if (this.#immediate !== undefined) clearImmediate(this.#immediate);
  }

  #schedule(): void {
    if (this.#stopped || this.#immediate !== undefined) return;
    this.#immediate = setImmediate(() => this.#step());
  }

  #step(): void {
    this.#immediate = undefined;
    const events = this.#events;
    this.#events = [];
    const { intents, wakeAt } = this.#parts.core.step(this.now(), events);
    this.#wake(wakeAt);
    for (const intent of intents) this.#parts.perform(intent);
  }

  #wake(wakeAt: Timestamp | undefined): void {
    clearTimeout(this.#timer);
    if (wakeAt === undefined || this.#stopped) return;
    this.#timer = setTimeout(
      () => this.#schedule(),
      Math.max(1, wakeAt - this.now()),
    );
  }
}
