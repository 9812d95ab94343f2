import { evictOldest } from "../../../core/evict_oldest.ts";
import type { Millis, Timestamp } from "../../../core/time.ts";
import type { JobId } from "../pool_job.ts";

/** Margins that predictions get at least and at most; the most is a step below the shortest pauses of callers. */
const MIN_MARGIN_MS: Millis = 15;
const MAX_MARGIN_MS: Millis = 60;
/** Fraction of the first events that the margin covers. */
const COVERED_FRACTION = 0.75;
/** Change of the margin for each first event; some seconds of a crest move it over its range. */
const STEP_MS: Millis = 0.5;

/** First events that are awaited; those of daemons that are gone never come, and the oldest goes first. */
const MAX_EXPECTED = 4_096;
/** Weight of one error in the mean. */
const MEAN_WEIGHT = 0.05;

/**
 * Compares predicted with seen first events, and gives the margin that covers most errors.
 * Load pattern: a crest on engines that are slower than the configuration says. Each prediction is somewhat early, and
 * prompts that just fit are late.
 */
export class PredictionError {
  readonly #expected = new Map<JobId, Timestamp>();
  #marginMs = MIN_MARGIN_MS;
  #meanMs: Millis = 0;

  static create(): PredictionError {
    return new PredictionError();
  }

  /** Time to add to predictions. */
  get marginMs(): Millis {
    return this.#marginMs;
  }

  /** Mean time by which first events come later than predicted, of late. */
  get meanMs(): Millis {
    return this.#meanMs;
  }

  /** Number of first events that are awaited. */
  get awaited(): number {
    return this.#expected.size;
  }

  /** Records that a first event is expected at `at`. */
  expect(job: JobId, at: Timestamp): void {
    this.#expected.set(job, at);
    evictOldest(this.#expected, MAX_EXPECTED);
  }

  /** Records the first event of a job. */
  seen(job: JobId, now: Timestamp): void {
    const expectedAt = this.#expected.get(job);
    if (expectedAt === undefined) return;
    this.#expected.delete(job);
    const errorMs = now - expectedAt;
    const stepMs = errorMs > this.#marginMs
      ? STEP_MS * COVERED_FRACTION
      : -STEP_MS * (1 - COVERED_FRACTION);
    this.#marginMs = Math.min(
      MAX_MARGIN_MS,
      Math.max(MIN_MARGIN_MS, this.#marginMs + stepMs),
    );
    this.#meanMs += (errorMs - this.#meanMs) * MEAN_WEIGHT;
  }

  /** Forgets a job that ended without a first event. */
  forget(job: JobId): void {
    this.#expected.delete(job);
  }
}
