import type { Millis } from "../../core/time.ts";

/** Samples that are compared; the shortest is used, since an interruption only makes a sample longer. */
const WINDOW_SAMPLES = 4;
/** A VM becomes slow at this multiple of its best time, and recovers below `RECOVERY_FACTOR`. */
const SLOW_FACTOR = 4.5;
const RECOVERY_FACTOR = 2.5;
/** A sample below this fraction of the best time shows that the code was still warming up. */
const WARM_UP_RATIO = 0.8;
/** Smallest excess over the best time that can be told from the error of the clock. */
const MIN_EXCESS_MS: Millis = 0.05;

/**
 * Detects whether this VM is slow, from the duration of a fixed piece of work.
 * Load pattern: some VMs run several times slower for a while. Their daemons still answer, but late; clients that the
 * directory sends to other daemons are served in time.
 */
export class OwnSpeed {
  readonly #samples: Millis[] = [];
  #bestMs = Infinity;
  #slow = false;

  static create(): OwnSpeed {
    return new OwnSpeed();
  }

  get slow(): boolean {
    return this.#slow;
  }

  /** Shortest recent time as a multiple of the best time; 1 while there are too few samples. */
  get slowdownFactor(): number {
    if (this.#samples.length < WINDOW_SAMPLES) return 1;
    const shortestMs = Math.min(...this.#samples);
    if (shortestMs - this.#bestMs < MIN_EXCESS_MS) return 1;
    return shortestMs / this.#bestMs;
  }

  /** Adds the duration of the fixed work; returns whether the VM is slow. */
  addSample(ms: Millis): boolean {
    // Code that is still being optimized gets faster, so earlier samples aren't comparable.
    if (ms < this.#bestMs * WARM_UP_RATIO) this.#samples.length = 0;
    this.#samples.push(ms);
    if (this.#samples.length > WINDOW_SAMPLES) this.#samples.shift();
    if (ms > 0) this.#bestMs = Math.min(this.#bestMs, ms);
    const limit = this.#slow ? RECOVERY_FACTOR : SLOW_FACTOR;
    this.#slow = this.slowdownFactor >= limit;
    return this.#slow;
  }
}
