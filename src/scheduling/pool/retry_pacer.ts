import {
  addMs,
  type Millis,
  SECOND_MS,
  type Timestamp,
} from "../../core/time.ts";

/** Shortest Retry-After: about the time until a large prompt leaves an engine. */
export const RETRY_AFTER_MS: Millis = 800;
/** Largest fraction of its remaining time that a caller waits before it retries, as the platform specifies it. */
const MAX_WAIT_FRACTION = 1 / 3;
/** Retries per second and engine; below an engine's throughput, as new prompts arrive too. */
const RETRIES_PER_ENGINE_SECOND = 1;

/**
 * Spreads the retries of refused callers over time.
 * Load pattern: a burst of short prompts. If all refused callers get the same Retry-After, their retries are a burst
 * too.
 */
export class RetryPacer {
  #lastRetryAt = 0 as Timestamp;

  static create(): RetryPacer {
    return new RetryPacer();
  }

  /** Returns the Retry-After for a caller that has `leftMs` until its deadline. */
  nextRetryMs(
    now: Timestamp,
    options: Readonly<{ leftMs: Millis; engines: number }>,
  ): Millis {
    const { leftMs, engines } = options;
    const gapMs = SECOND_MS /
      (RETRIES_PER_ENGINE_SECOND * Math.max(1, engines));
    const retryAt = Math.max(now + RETRY_AFTER_MS, this.#lastRetryAt + gapMs);
    this.#lastRetryAt = Math.min(
      retryAt,
      addMs(now, leftMs * MAX_WAIT_FRACTION),
    ) as Timestamp;
    return Math.ceil(this.#lastRetryAt - now);
  }
}
