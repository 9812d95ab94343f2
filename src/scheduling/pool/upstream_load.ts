import type { Millis, Timestamp } from "../../core/time.ts";
import type { UpstreamId } from "../../core/id.ts";
import type { JobId, PoolJob } from "./pool_job.ts";

/** Streams that accept no longer pause than this suffer from a long prefill beside them. */
export const SENSITIVE_PAUSE_MS: Millis = 300;

/** How long a failure keeps an upstream at a disadvantage; longer than most transient faults last. */
const DISTRUST_MS: Millis = 4_000;
const MAX_FAULTS = 8;
/** What is left of one failure after three of the four seconds. */
const SUSPECT_FAULTS = 0.25;

/** An engine that takes this many times the stated time, or more, is slow. */
const SLOW_PACE = 1.3;
/** How long a pace counts after it was last confirmed; some rechecks may be lost. */
const PACE_VALID_MS: Millis = 4_000;

/** Whether an engine at a pace, in multiples of the stated time, is slow. */
export function isSlow(pace: number): boolean {
  return pace >= SLOW_PACE;
}

/** What is known of the work of one upstream: all that was placed there and has not ended. */
export class UpstreamLoad {
  readonly id: UpstreamId;
  readonly jobs = new Map<JobId, PoolJob>();
  #busyUntil = 0 as Timestamp;
  #faults = 0;
  #faultAt = 0 as Timestamp;
  #pace = 1;
  #paceAt = 0 as Timestamp;

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
    this.#busyUntil = (start + job.partMs * this.paceAt(now)) as Timestamp;
  }

  /** Updates a job that has been prefilled, or removes one that has ended. */
  settle(id: JobId, writing: PoolJob | undefined, now: Timestamp): void {
    if (writing === undefined) this.jobs.delete(id);
    else this.jobs.set(id, writing);
    let left = 0;
    for (const job of this.jobs.values()) if (!job.writing) left += job.partMs;
    left *= this.paceAt(now);
    this.#busyUntil = Math.min(this.#busyUntil, now + left) as Timestamp;
  }

  /** Times that the engine takes of what is stated; 1 unless it is known to be slow. */
  paceAt(now: Timestamp): number {
    return now - this.#paceAt > PACE_VALID_MS ? 1 : this.#pace;
  }

  /** Updates the pace; what is left to read takes as many times longer. */
  setPace(pace: number, now: Timestamp): void {
    const known = Math.max(1, pace);
    const leftMs = this.waitMs(now) * known / this.paceAt(now);
    this.#pace = known;
    this.#paceAt = now;
    this.#busyUntil = (now + leftMs) as Timestamp;
  }

  /** Predicted time until all prefill that was placed here is done. */
  waitMs(now: Timestamp): Millis {
    return Math.max(0, this.#busyUntil - now);
  }

  /** Jobs that this upstream answers itself. */
  get own(): number {
    return this.#count((job) => job.upstream === this.id);
  }

  /** Prompts of other engines that this one reads a part of, or holds memory for. */
  get helping(): number {
    return this.#count((job) => job.upstream !== this.id);
  }

  get writing(): number {
    return this.#count((job) => job.upstream === this.id && job.writing);
  }

  /** Streams here, writing or soon to write, that accept only short pauses. */
  get sensitive(): number {
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
    for (const job of this.jobs.values()) sum += memoryOn(job, this.id);
    return sum;
  }

  blame(now: Timestamp): void {
    this.#faults = Math.min(MAX_FAULTS, this.#faultsAt(now) + 1);
    this.#faultAt = now;
  }

  clear(now: Timestamp): void {
    this.#faults = Math.max(0, this.#faultsAt(now) - 1);
    this.#faultAt = now;
  }

  /** Whether it failed so lately that nothing should depend on it. */
  isSuspect(now: Timestamp): boolean {
    return this.#faultsAt(now) >= SUSPECT_FAULTS;
  }

  /** Recent failures, fading with time. */
  faults(now: Timestamp): number {
    return this.#faultsAt(now);
  }

  #faultsAt(now: Timestamp): number {
    const age = now - this.#faultAt;
    return age > DISTRUST_MS ? 0 : this.#faults * (1 - age / DISTRUST_MS);
  }

  #count(test: (job: PoolJob) => boolean): number {
    let count = 0;
    for (const job of this.jobs.values()) if (test(job)) count += 1;
    return count;
  }
}

/** Tokens of memory that a job takes up on one engine: its ticket, and the rest where it is answered. */
function memoryOn(job: PoolJob, id: UpstreamId): number {
  let ticketed = 0;
  let here = 0;
  for (const ticket of job.tickets) {
    ticketed += ticket.tokens;
    if (ticket.upstream === id) here += ticket.tokens;
  }
  const rest = Math.max(0, job.tokens - ticketed);
  return job.upstream === id ? here + rest : here;
}
