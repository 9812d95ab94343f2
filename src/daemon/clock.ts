import { performance } from "node:perf_hooks";
import type { Timestamp } from "../core/time.ts";

/** Tells the time; never goes back. */
export abstract class Clock {
  abstract now(): Timestamp;
}

/** Wall-clock time at the start plus monotonic time since, so that a changed wall clock has no effect. */
export class SystemClock extends Clock {
  readonly #startedAt = Date.now() - performance.now();

  static create(): SystemClock {
    return new SystemClock();
  }

  override now(): Timestamp {
    return Math.floor(this.#startedAt + performance.now()) as Timestamp;
  }
}
