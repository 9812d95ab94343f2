import type { Millis, Timestamp } from "../core/time.ts";

/** Engine time requested for each millisecond, as an exponentially decaying average. */
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

  /** Adds the engine time of work requested at `now`. */
  add(costMs: Millis, now: Timestamp): void {
    this.#sumMs = this.#decayedSumMs(now) + costMs;
    this.#at = now;
  }

  /** Mean number of engines that the recent demand keeps busy. */
  busyEngines(now: Timestamp): number {
    return this.#decayedSumMs(now) / this.#windowMs;
  }

  #decayedSumMs(now: Timestamp): number {
    return this.#sumMs * Math.exp((this.#at - now) / this.#windowMs);
  }
}
