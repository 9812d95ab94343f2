import { setImmediate } from "node:timers/promises";
import type { Millis, Timestamp } from "../../src/core/time.ts";
import { VirtualClock } from "../measure/clock.ts";

/** Virtual time for code that waits on promises: whatever follows from one event is done before the next. */
export class Timeline {
  readonly #clock: VirtualClock;
  #isSettled = true;

  private constructor(clock: VirtualClock) {
    this.#clock = clock;
  }

  static create(start: Timestamp): Timeline {
    return new Timeline(VirtualClock.create(start));
  }

  get now(): Timestamp {
    return this.#clock.now;
  }

  after(ms: Millis, run: () => void): void {
    this.#clock.after(ms, run);
  }

  /** Says that a promise was resolved; its followers run before time goes on. */
  unsettle(): void {
    this.#isSettled = false;
  }

  /** Runs for `ms`; stops early once `check`, called after each event, returns false. */
  async run(ms: Millis, check: () => boolean): Promise<void> {
    let isOver = false;
    this.after(ms, () => isOver = true);
    while (!isOver) {
      this.#runNext();
      while (!this.#isSettled) await this.#settle();
      if (!check()) return;
    }
  }

  #runNext(): void {
    let hasRun = false;
    this.#clock.run(() => {
      if (hasRun) return true;
      hasRun = true;
      return false;
    });
  }

  async #settle(): Promise<void> {
    this.#isSettled = true;
    await setImmediate();
  }
}
