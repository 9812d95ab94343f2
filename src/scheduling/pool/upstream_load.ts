import type { Millis, Timestamp } from "../../core/time.ts";
import type { UpstreamId } from "../../core/id.ts";
import type { JobId, PoolJob } from "./pool_job.ts";

/** Streams that accept no longer pause than this suffer from a long prefill beside them. */
export const SENSITIVE_PAUSE_MS: Millis = 300;

/** How long a failure keeps an upstream at a disadvantage; longer than most transient faults last. */
const FAILURE_DECAY_MS: Millis = 4_000;
const MAX_FAILURES = 8;
/** What is left of one failure after three of the four seconds. */
const RECENT_FAILURE_THRESHOLD = 0.25;

/** An engine that takes this many times the stated time, or more, is slow. */
const SLOW_THRESHOLD = 1.3;
/** How long a pace counts after it was last confirmed; some rechecks may be lost. */
const SLOWDOWN_VALID_MS: Millis = 4_000;

/** Whether an engine at a pace, in multiples of the stated time, is slow. */
export function isSlow(slowdown: number): boolean {
  return slowdown >= SLOW_THRESHOLD;
}

/** What is known of the work of one upstream: all that was placed there and has not ended. */
export class UpstreamLoad {
  readonly id: UpstreamId;
  readonly jobs = new Map<JobId, PoolJob>();
  #busyUntil = 0 as Timestamp;
  #failures = 0;
  #failuresUpdatedAt = 0 as Timestamp;
  #slowdown = 1;
  #slowdownSetAt = 0 as Timestamp;

  private constructor(id: UpstreamId) {
    this.id = id;
  }

  static create(id: UpstreamId): UpstreamLoad {
    return new UpstreamLoad(id);
  }

  add(job: PoolJob, now: Timestamp): void {
    this.jobs.set(job.id, job);
    if (job.writing) return;
    const start = Math.max(now, this.#busyUntil);
    this.#busyUntil = (start + job.partMs * this.slowdownAt(now)) as Timestamp;
  }

  /** Updates a job that has been prefilled, or removes one that has ended. */
  updateJob(id: JobId, prefilled: PoolJob | undefined, now: Timestamp): void {
    if (prefilled === undefined) this.jobs.delete(id);
    else this.jobs.set(id, prefilled);
    let sumMs = 0;
    for (const job of this.jobs.values()) if (!job.writing) sumMs += job.partMs;
    sumMs *= this.slowdownAt(now);
    this.#busyUntil = Math.min(this.#busyUntil, now + sumMs) as Timestamp;
  }

  /** Times that the engine takes of what is stated; 1 unless it is known to be slow. */
  slowdownAt(now: Timestamp): number {
    return now - this.#slowdownSetAt > SLOWDOWN_VALID_MS ? 1 : this.#slowdown;
  }

  /** Updates the pace; what is left to read takes as many times longer. */
  setSlowdown(slowdown: number, now: Timestamp): void {
    const bounded = Math.max(1, slowdown);
    const leftMs = this.backlogMs(now) * bounded / this.slowdownAt(now);
    this.#slowdown = bounded;
    this.#slowdownSetAt = now;
    this.#busyUntil = (now + leftMs) as Timestamp;
  }

  /** Predicted time until all prefill that was placed here is done. */
  backlogMs(now: Timestamp): Millis {
    return Math.max(0, this.#busyUntil - now);
  }

  /** Jobs that this upstream answers itself. */
  get ownJobs(): number {
    return this.#count((job) => job.upstream === this.id);
  }

  /** Prompts of other engines that this one reads a part of, or holds memory for. */
  get helperJobs(): number {
    return this.#count((job) => job.upstream !== this.id);
  }

  get writingStreams(): number {
    return this.#count((job) => job.upstream === this.id && job.writing);
  }

  /** Streams here, writing or soon to write, that accept only short pauses. */
  get sensitiveStreams(): number {
    return this.#count((job) =>
      job.upstream === this.id && job.kind === "prompt" &&
      job.pauseMs <= SENSITIVE_PAUSE_MS
    );
  }

  /** Tokens of context of the streams that are answered here. */
  get contextTokens(): number {
    let sum = 0;
    for (const job of this.jobs.values()) {
      if (job.upstream === this.id) sum += job.tokens;
    }
    return sum;
  }

  /** Tokens of memory that the jobs take up here. */
  get memoryTokens(): number {
    let sum = 0;
    for (const job of this.jobs.values()) sum += memoryTokensOn(job, this.id);
    return sum;
  }

  recordFailure(now: Timestamp): void {
    this.#failures = Math.min(MAX_FAILURES, this.#decayedFailures(now) + 1);
    this.#failuresUpdatedAt = now;
  }

  recordSuccess(now: Timestamp): void {
    this.#failures = Math.max(0, this.#decayedFailures(now) - 1);
    this.#failuresUpdatedAt = now;
  }

  /** Whether it failed so lately that nothing should depend on it. */
  hasFailedRecently(now: Timestamp): boolean {
    return this.#decayedFailures(now) >= RECENT_FAILURE_THRESHOLD;
  }

  /** Recent failures, fading with time. */
  recentFailures(now: Timestamp): number {
    return this.#decayedFailures(now);
  }

  #decayedFailures(now: Timestamp): number {
    const ageMs = now - this.#failuresUpdatedAt;
    return ageMs > FAILURE_DECAY_MS
      ? 0
      : this.#failures * (1 - ageMs / FAILURE_DECAY_MS);
  }

  #count(predicate: (job: PoolJob) => boolean): number {
    let count = 0;
    for (const job of this.jobs.values()) if (predicate(job)) count += 1;
    return count;
  }
}

/** Tokens of memory that a job takes up on one engine: its ticket, and the rest where it is answered. */
function memoryTokensOn(job: PoolJob, id: UpstreamId): number {
  let ticketTokens = 0;
  let tokensHere = 0;
  for (const ticket of job.tickets) {
    ticketTokens += ticket.tokens;
    if (ticket.upstream === id) tokensHere += ticket.tokens;
  }
  const unticketedTokens = Math.max(0, job.tokens - ticketTokens);
  return job.upstream === id ? tokensHere + unticketedTokens : tokensHere;
}
