import { performance } from "node:perf_hooks";
import type { Timestamp } from "../core/time.ts";

/** A clock whose time never decreases. */
export abstract class Clock {
  abstract now(): Timestamp;
}

/** Wall-clock time at process start plus the monotonic time since, so that later changes of the wall clock have no effect. */
export class SystemClock extends Clock {
  readonly #startedAt = Date.now() - performance.now();

  static create(): SystemClock {
    return new SystemClock();
  }

  override now(): Timestamp {
    return Math.floor(this.#startedAt + performance.now()) as Timestamp;
  }
}
