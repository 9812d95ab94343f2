import type { Core } from "../core/core.ts";
import type { Event } from "../core/event.ts";
import type { Intent } from "../core/intent.ts";
import { addMs, type Millis, type Timestamp } from "../core/time.ts";
import type { VirtualTime } from "./virtual_time.ts";

/** Carries out one intent of a daemon. */
export type Execute = (daemon: FakeDaemon, intent: Intent) => void;

/** A daemon's core under virtual time, which can be frozen between two events, and killed. */
export class FakeDaemon {
  readonly core: Core;
  /** Time by which the daemon's clock is behind virtual time. */
  clockLagMs: Millis = 0;
  readonly #time: VirtualTime;
  readonly #execute: Execute;
  #events: Event[] = [];
  #intents: Intent[] = [];
  #frozenUntil = 0 as Timestamp;
  #dueAt: Timestamp | undefined;
  #alive = true;

  private constructor(core: Core, time: VirtualTime, execute: Execute) {
    this.core = core;
    this.#time = time;
    this.#execute = execute;
    this.#dueAt = time.now;
  }

  static create(
    core: Core,
    time: VirtualTime,
    options: { execute: Execute },
  ): FakeDaemon {
    const daemon = new FakeDaemon(core, time, options.execute);
    daemon.deliver();
    return daemon;
  }

  get alive(): boolean {
    return this.#alive;
  }

  get frozen(): boolean {
    return this.#time.now < this.#frozenUntil;
  }

  /** Suspends the daemon; events that arrive meanwhile are queued. */
  freeze(ms: Millis): void {
    this.#frozenUntil = (this.#time.now + ms) as Timestamp;
    this.#wake(ms);
  }

  kill(): void {
    this.#alive = false;
  }

  /** Queues events for the core's next step, which runs at once unless the daemon is frozen. */
  deliver(...events: readonly Event[]): void {
    this.#events.push(...events);
    this.#wake(0);
  }

  #wake(delayMs: Millis): void {
    this.#time.schedule(delayMs, () => this.#runPending());
  }

  /** Carries out the intents of the last step, then steps the core if events or its wake-up time are due. */
  #runPending(): void {
    if (!this.#alive || this.frozen) return;
    const intents = this.#intents;
    this.#intents = [];
    for (const intent of intents) this.#execute(this, intent);
    const now = addMs(this.#time.now, -this.clockLagMs);
    const due = this.#dueAt !== undefined && this.#dueAt <= now;
    if (this.#events.length > 0 || due) this.#step(now);
  }

  #step(now: Timestamp): void {
    const events = this.#events;
    this.#events = [];
    this.#dueAt = undefined;
    const { intents, wakeAt } = this.core.step(now, events);
    this.#intents.push(...intents);
    if (intents.length > 0) this.#wake(1);
    if (wakeAt === undefined) return;
    this.#dueAt = wakeAt;
    this.#wake(Math.max(1, wakeAt - now));
  }
}
