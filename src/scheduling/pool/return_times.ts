import {
  addMs,
  type Millis,
  SECOND_MS,
  type Timestamp,
} from "../../core/time.ts";

/** When a caller comes back at the earliest: about the time in which a large prompt leaves an engine. */
export const RETRY_AFTER_MS: Millis = 800;
/** Part of its time that a caller waits at most before it comes back, as the platform states it. */
const CALLER_WAITS = 1 / 3;
/** Retries a second for each engine; a part of what one serves, as fresh prompts come too. */
const RETURNS_PER_SECOND = 1;

/**
 * Spreads the retries of refused callers over time.
 * Load pattern: a crest of short prompts. Callers that all get the same Retry-After retry as a crest of their own.
 */
export class ReturnTimes {
  #lastAt = 0 as Timestamp;

  static create(): ReturnTimes {
    return new ReturnTimes();
  }

  /** Returns the time to wait for a caller that still has `leftMs`. */
  next(
    now: Timestamp,
    options: Readonly<{ leftMs: Millis; engines: number }>,
  ): Millis {
    const { leftMs, engines } = options;
    const gapMs = SECOND_MS / (RETURNS_PER_SECOND * Math.max(1, engines));
    const at = Math.max(now + RETRY_AFTER_MS, this.#lastAt + gapMs);
    this.#lastAt = Math.min(at, addMs(now, leftMs * CALLER_WAITS)) as Timestamp;
    return Math.ceil(this.#lastAt - now);
  }
}
