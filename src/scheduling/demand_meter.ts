import type { Millis, Timestamp } from "../core/time.ts";

/** Engine time that is asked for in each millisecond, over a moving window that forgets smoothly. */
export class DemandMeter {
  readonly #windowMs: Millis;
  #sumMs = 0;
  #at = 0 as Timestamp;

  private constructor(windowMs: Millis) {
    this.#windowMs = windowMs;
  }

  static create(windowMs: Millis): DemandMeter {
    return new DemandMeter(windowMs);
  }

  /** Adds work that was asked for at `now`. */
  add(costMs: Millis, now: Timestamp): void {
    this.#sumMs = this.#decayedSumMs(now) + costMs;
    this.#at = now;
  }

  /** Engines that the recent demand keeps busy. */
  busyEngines(now: Timestamp): number {
    return this.#decayedSumMs(now) / this.#windowMs;
  }

  #decayedSumMs(now: Timestamp): number {
    return this.#sumMs * Math.exp((this.#at - now) / this.#windowMs);
  }
}
