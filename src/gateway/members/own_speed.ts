import type { Millis } from "../../core/time.ts";

/** Samples that the decision looks at; the shortest counts, as work that was interrupted only takes longer. */
const WINDOW_SAMPLES = 4;
/** A VM that takes this many times its best is slow, and sound again below the smaller one. */
const SLOW_FACTOR = 4.5;
const RECOVERY_FACTOR = 2.5;
/** A sample that is this part of the best one, or less, shows that the code was still warming up. */
const WARM_UP_RATIO = 0.8;
/** Samples that are too short to be told from the clock's own error. */
const MIN_EXCESS_MS: Millis = 0.05;

/**
 * Tells whether this VM is slow, from how long the same piece of work takes.
 * Load pattern: some VMs run several times slower for a while. Their daemons answer everything, but late; clients
 * that the directory sends elsewhere are served in time.
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

  /** How many times its best this VM takes; 1 until enough is known. */
  get slowdownFactor(): number {
    if (this.#samples.length < WINDOW_SAMPLES) return 1;
    const shortestMs = Math.min(...this.#samples);
    if (shortestMs - this.#bestMs < MIN_EXCESS_MS) return 1;
    return shortestMs / this.#bestMs;
  }

  /** Adds how long the piece of work took; returns whether the VM is slow. */
  addSample(ms: Millis): boolean {
    // Code that has just started still gets faster: what came before says nothing.
    if (ms < this.#bestMs * WARM_UP_RATIO) this.#samples.length = 0;
    this.#samples.push(ms);
    if (this.#samples.length > WINDOW_SAMPLES) this.#samples.shift();
    if (ms > 0) this.#bestMs = Math.min(this.#bestMs, ms);
    const limit = this.#slow ? RECOVERY_FACTOR : SLOW_FACTOR;
    this.#slow = this.slowdownFactor >= limit;
    return this.#slow;
  }
}
