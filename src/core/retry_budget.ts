import type { Millis, Timestamp } from "./time.ts";
import { SECOND_MS } from "./time.ts";

const MAX_RETRIES = 32;
const RETRIES_PER_SECOND = 0.5;

/** Retries that may be made: a fraction of recent successes plus a small steady rate. */
export class RetryBudget {
  #available = MAX_RETRIES;
  #updatedAt: Timestamp;

  private constructor(now: Timestamp) {
    this.#updatedAt = now;
  }

  static create(now: Timestamp): RetryBudget {
    return new RetryBudget(now);
  }

  /** Adds `ratio` of a retry for one request that ended well. */
  recordSuccess(ratio: number): void {
    this.#available = Math.min(MAX_RETRIES, this.#available + ratio);
  }

  /** Takes one retry; false when none is left. */
  trySpend(now: Timestamp): boolean {
    this.#refill(now);
    if (this.#available < 1) return false;
    this.#available -= 1;
    return true;
  }

  /** Time until one retry is available again. */
  waitMs(now: Timestamp): Millis {
    this.#refill(now);
    const missing = Math.max(0, 1 - this.#available);
    return Math.ceil(missing / RETRIES_PER_SECOND * SECOND_MS);
  }

  #refill(now: Timestamp): void {
    const elapsed = Math.max(0, now - this.#updatedAt);
    this.#updatedAt = now;
    this.#available = Math.min(
      MAX_RETRIES,
      this.#available + elapsed / SECOND_MS * RETRIES_PER_SECOND,
    );
  }
}
