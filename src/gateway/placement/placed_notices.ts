import type { VmId } from "../../core/id.ts";
import { addMs, type Millis, type Timestamp } from "../../core/time.ts";
import type { JobId, PoolJob } from "../../scheduling/pool/pool_job.ts";

/** Time between two messages: far below the silence after which another daemon places. */
const MIN_GAP_MS: Millis = 5;
/** Most jobs in one message, so that it fits a few packets. */
const MAX_JOBS = 32;

/** Jobs that were placed, for one other daemon that places. */
export type PlacedBatch = Readonly<{ to: VmId; jobs: readonly PoolJob[] }>;

/**
 * Gathers the placements that other daemons mirror, where they follow each other closely.
 * Load pattern: a thousand requests a second. A message for each would cost the leader as much as the grants do; the
 * mirror matters only once the leader is silent.
 */
export class PlacedNotices {
  readonly #queued = new Map<VmId, PoolJob[]>();
  #dueAt: Timestamp | undefined;
  #lastSentAt = -Infinity as Timestamp;

  static create(): PlacedNotices {
    return new PlacedNotices();
  }

  /** When the batches are due; undefined while nothing is queued. */
  get dueAt(): Timestamp | undefined {
    return this.#dueAt;
  }

  add(to: VmId, job: PoolJob, now: Timestamp): void {
    const jobs = this.#queued.get(to) ?? [];
    this.#queued.set(to, jobs);
    jobs.push(job);
    this.#dueAt ??= addMs(this.#lastSentAt, MIN_GAP_MS);
    if (jobs.length >= MAX_JOBS) this.#dueAt = now;
  }

  /** Drops a job that has ended before its placement was sent. */
  drop(id: JobId): void {
    for (const jobs of this.#queued.values()) {
      const at = jobs.findIndex((job) => job.id === id);
      if (at !== -1) jobs.splice(at, 1);
    }
  }

  /** Takes the batches that are due. */
  takeDue(now: Timestamp): readonly PlacedBatch[] {
    if (this.#dueAt === undefined || now < this.#dueAt) return [];
    const batches = [...this.#queued].map(([to, jobs]) => ({ to, jobs }))
      .filter(({ jobs }) => jobs.length > 0);
    this.#queued.clear();
    this.#dueAt = undefined;
    this.#lastSentAt = now;
    return batches;
  }
}
