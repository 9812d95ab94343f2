import type { Millis, Timestamp } from "../../src/core/time.ts";
import type { Timers } from "../common/timers.ts";

/** The engine's own time: wall time, sped up by a factor, and stopped while frozen. */
export class ModelClock {
  readonly #timers: Timers;
  #scale: number;
  #base: number;
  #since: number;
  #frozen = false;

  private constructor(timers: Timers, scale: number) {
    this.#timers = timers;
    this.#scale = scale;
    this.#base = Date.now();
    this.#since = timers.now();
  }

  static create(timers: Timers, scale = 1): ModelClock {
    return new ModelClock(timers, scale);
  }

  now(): Timestamp {
    const passed = this.#frozen ? 0 : this.#timers.now() - this.#since;
    return (this.#base + passed * this.#scale) as Timestamp;
  }

  /** Converts a wall duration to the engine's time. */
  scaled(ms: Millis): Millis {
    return ms * this.#scale;
  }

  /** Wall time until a point of the engine's time. */
  wallUntil(at: Timestamp): Millis {
    return Math.max(0, (at - this.now()) / this.#scale);
  }

  setScale(scale: number): void {
    this.#rebase();
    this.#scale = scale;
  }

  setFrozen(frozen: boolean): void {
    this.#rebase();
    this.#frozen = frozen;
  }

  #rebase(): void {
    this.#base = this.now();
    this.#since = this.#timers.now();
  }
}
