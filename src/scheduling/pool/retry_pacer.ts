import {
  addMs,
  type Millis,
  SECOND_MS,
  type Timestamp,
} from "../../core/time.ts";

/** When a caller comes back at the earliest: about the time in which a large prompt leaves an engine. */
export const RETRY_AFTER_MS: Millis = 800;
/** Part of its time that a caller waits at most before it comes back, as the platform states it. */
const MAX_WAIT_FRACTION = 1 / 3;
/** Retries a second for each engine; a part of what one serves, as fresh prompts come too. */
const RETRIES_PER_ENGINE_SECOND = 1;

/**
 * Spreads the retries of refused callers over time.
 * Load pattern: a crest of short prompts. Callers that all get the same Retry-After retry as a crest of their own.
 */
export class RetryPacer {
  #lastRetryAt = 0 as Timestamp;

  static create(): RetryPacer {
    return new RetryPacer();
  }

  /** Returns the time to wait for a caller that still has `leftMs`. */
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
