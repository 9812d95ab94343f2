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

/** The core that the loop steps, its clock and the handler of its intents. */
export type LoopDeps = Readonly<
  { core: Core; clock: Clock; perform: (intent: Intent) => void }
>;

/** The daemon's event loop: steps the core whenever events are pending or its timer is due. */
export class Loop {
  readonly #deps: LoopDeps;
  #events: Event[] = [];
  #immediate: NodeJS.Immediate | undefined;
  #timer: NodeJS.Timeout | undefined;
  #stopped = false;

  private constructor(deps: LoopDeps) {
    this.#deps = deps;
  }

  static create(deps: LoopDeps): Loop {
    return new Loop(deps);
  }

  get core(): Core {
    return this.#deps.core;
  }

  get clock(): Clock {
    return this.#deps.clock;
  }

  now(): Timestamp {
    return this.#deps.clock.now();
  }

  /** Queues an event for the next step; events queued before it are handled in the same step. */
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
    const { intents, wakeAt } = this.#deps.core.step(this.now(), events);
    this.#setTimer(wakeAt);
    for (const intent of intents) this.#deps.perform(intent);
  }

  #setTimer(wakeAt: Timestamp | undefined): void {
    clearTimeout(this.#timer);
    if (wakeAt === undefined || this.#stopped) return;
    this.#timer = setTimeout(
      () => this.#schedule(),
      Math.max(1, wakeAt - this.now()),
    );
  }
}
