import type { Millis, Timestamp } from "../../core/time.ts";
import type { UpstreamId } from "../../core/id.ts";
import { HeldParts } from "../held/held_parts.ts";
import { keyedParts, type PartKey } from "../held/leading_parts.ts";
import type { JobId, PoolJob } from "./pool_job.ts";

/** Streams that accept no longer pause than this are sensitive: a long prefill on the same engine makes them late. */
export const SENSITIVE_PAUSE_MS: Millis = 300;

/** Time in which failures decay to 0; longer than most transient faults last. */
const FAILURE_DECAY_MS: Millis = 4_000;
const MAX_FAILURES = 8;
/** Decayed failures from which an upstream counts as failed recently: one failure, 3 s of the 4 s later. */
const RECENT_FAILURE_THRESHOLD = 0.25;

/** Parts kept for one upstream, the least recently used is dropped first: more than its memory holds of usual prompts. */
const MAX_HELD_PARTS = 256;

/** Slowdown from which an engine is slow. */
const SLOW_THRESHOLD = 1.3;
/** Time for which a slowdown is valid after its last report; some reports may be lost. */
const SLOWDOWN_VALID_MS: Millis = 4_000;

/** Whether an engine is slow; `slowdown` is a multiple of its configured time. */
export function isSlow(slowdown: number): boolean {
  return slowdown >= SLOW_THRESHOLD;
}

/** The known load of one upstream: the jobs placed on it that have not ended, recent failures and slowdown. */
export class UpstreamLoad {
  readonly id: UpstreamId;
  readonly jobs = new Map<JobId, PoolJob>();
  /** Beginnings of prompts that it is believed to hold. */
  readonly held = HeldParts.create<PartKey>({ maxParts: MAX_HELD_PARTS });
  #busyUntil = 0 as Timestamp;
  #passEndedAt = 0 as Timestamp;
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

  /** Replaces a job that has been prefilled, or removes a job that has ended. */
  updateJob(id: JobId, prefilled: PoolJob | undefined, now: Timestamp): void {
    this.#updateHeld(this.jobs.get(id), prefilled, now);
    if (prefilled === undefined) this.jobs.delete(id);
    else {
      this.jobs.set(id, prefilled);
      if (prefilled.upstream === this.id) this.#passEndedAt = now;
    }
    let sumMs = 0;
    for (const job of this.jobs.values()) if (!job.writing) sumMs += job.partMs;
    sumMs *= this.slowdownAt(now);
    this.#busyUntil = Math.min(this.#busyUntil, now + sumMs) as Timestamp;
  }

  /** When the first event of a prompt last told that a pass had ended. */
  get passEndedAt(): Timestamp {
    return this.#passEndedAt;
  }

  /** Time that the engine takes as a multiple of the configured time; 1 without a valid report. */
  slowdownAt(now: Timestamp): number {
    return now - this.#slowdownSetAt > SLOWDOWN_VALID_MS ? 1 : this.#slowdown;
  }

  /** Sets the slowdown, at least 1, and scales the prefill backlog by it. */
  setSlowdown(slowdown: number, now: Timestamp): void {
    const bounded = Math.max(1, slowdown);
    const leftMs = this.backlogMs(now) * bounded / this.slowdownAt(now);
    this.#slowdown = bounded;
    this.#slowdownSetAt = now;
    this.#busyUntil = (now + leftMs) as Timestamp;
  }

  /** Predicted time until all prefill placed on this upstream is done. */
  backlogMs(now: Timestamp): Millis {
    return Math.max(0, this.#busyUntil - now);
  }

  /** Number of jobs that this upstream answers. */
  get ownJobs(): number {
    return this.#count((job) => job.upstream === this.id);
  }

  /** Number of jobs answered elsewhere for which this engine prefills a part or holds memory. */
  get helperJobs(): number {
    return this.#count((job) => job.upstream !== this.id);
  }

  /** Number of streams answered here, decoding or soon to decode, that accept only short pauses. */
  get sensitiveStreams(): number {
    return this.#count((job) =>
      job.upstream === this.id && job.kind === "prompt" &&
      job.pauseMs <= SENSITIVE_PAUSE_MS
    );
  }

  /** Context tokens of the jobs that are answered here. */
  get contextTokens(): number {
    let sum = 0;
    for (const job of this.jobs.values()) {
      if (job.upstream === this.id) sum += job.tokens;
    }
    return sum;
  }

  /** Memory in tokens that all jobs take up here. */
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

  /** Whether this upstream failed so recently that no split prompt should depend on it. */
  hasFailedRecently(now: Timestamp): boolean {
    return this.#decayedFailures(now) >= RECENT_FAILURE_THRESHOLD;
  }

  /** Number of recent failures, decaying linearly with time. */
  recentFailures(now: Timestamp): number {
    return this.#decayedFailures(now);
  }

  /** Its first event shows that a prompt was read; what several engines have read is whole on none of them. */
  #updateHeld(
    before: PoolJob | undefined,
    after: PoolJob | undefined,
    now: Timestamp,
  ): void {
    const { leadingParts, helpers, upstream } = after ?? before ?? {};
    if (leadingParts === undefined || upstream !== this.id) return;
    if (helpers !== undefined && helpers.length > 0) return;
    const parts = keyedParts(leadingParts);
    const wasWriting = before?.writing === true;
    if (after?.writing === true && !wasWriting) {
      this.held.store(parts, now, { inUse: true });
    } else if (after === undefined && wasWriting) {
      this.held.release(parts, now);
    }
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

/** Memory in tokens that a job takes up on one engine: its tickets and, on the decoding engine, the remainder. */
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
