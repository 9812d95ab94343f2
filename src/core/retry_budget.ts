import type { Millis, Timestamp } from "./time.ts";
import { SECOND_MS } from "./time.ts";

const MAX_RETRIES = 32;
const RETRIES_PER_SECOND = 0.5;

/** Token bucket of retries, refilled by a fraction of each success and at a small constant rate. */
export class RetryBudget {
  #available = MAX_RETRIES;
  #updatedAt: Timestamp;

  private constructor(now: Timestamp) {
    this.#updatedAt = now;
  }

  static create(now: Timestamp): RetryBudget {
    return new RetryBudget(now);
  }

  /** Adds `ratio` of a retry for one successful request. */
  recordSuccess(ratio: number): void {
    this.#available = Math.min(MAX_RETRIES, this.#available + ratio);
  }

  /** Consumes one retry; returns false when none is left. */
  trySpend(now: Timestamp): boolean {
    this.#refill(now);
    if (this.#available < 1) return false;
    this.#available -= 1;
    return true;
  }

  /** Time until at least one retry is available, in milliseconds. */
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
