import type { UpstreamId, VmId } from "../../core/id.ts";
import type { Millis, Timestamp } from "../../core/time.ts";
import type { JobId, PoolJob } from "./pool_job.ts";
import { isSlow, UpstreamLoad } from "./upstream_load.ts";

/** Time after placement in which a daemon need not list a job, as the grant may still be in transit. */
const UNLISTED_GRACE_MS: Millis = 1_000;

/** Tracks which job runs on which upstreams. */
export class JobTracker {
  readonly #loads = new Map<UpstreamId, UpstreamLoad>();
  readonly #jobs = new Map<JobId, PoolJob>();
  readonly #onAdded: (job: PoolJob, now: Timestamp) => void;

  private constructor(onAdded: (job: PoolJob, now: Timestamp) => void) {
    this.#onAdded = onAdded;
  }

  /** `onAdded` is called once for each job, when it is placed here or first heard of. */
  static create(
    onAdded: (job: PoolJob, now: Timestamp) => void = () => {},
  ): JobTracker {
    return new JobTracker(onAdded);
  }

  /** Placed jobs that have not ended. */
  get jobs(): ReadonlyMap<JobId, PoolJob> {
    return this.#jobs;
  }

  /** The load of an upstream, created if it is not tracked yet. */
  loadOf(id: UpstreamId): UpstreamLoad {
    let created = this.#loads.get(id);
    if (created === undefined) {
      created = UpstreamLoad.create(id);
      this.#loads.set(id, created);
    }
    return created;
  }

  /** Loads of the engines that are known to be slow. */
  slowUpstreams(now: Timestamp): readonly UpstreamLoad[] {
    return [...this.#loads.values()].filter((upstream) =>
      isSlow(upstream.slowdownAt(now))
    );
  }

  /** Adds a placed job. */
  add(job: PoolJob, now: Timestamp): void {
    this.#jobs.set(job.id, job);
    for (const upstream of [job.upstream, ...job.helpers]) {
      this.loadOf(upstream).add(job, now);
    }
    this.#onAdded(job, now);
  }

  /** Records a job's first event, which ends its prefill. */
  started(id: JobId, now: Timestamp): void {
    const job = this.#jobs.get(id);
    if (job === undefined || job.writing) return;
    const writing = { ...job, writing: true };
    this.#jobs.set(id, writing);
    this.loadOf(job.upstream).updateJob(id, writing, now);
    for (const helper of job.helpers) {
      const holds = job.tickets.some((ticket) => ticket.upstream === helper);
      this.loadOf(helper).updateJob(id, holds ? writing : undefined, now);
    }
  }

  /** Removes a job that has ended. */
  ended(id: JobId, now: Timestamp): void {
    const job = this.#jobs.get(id);
    if (job === undefined) return;
    this.#jobs.delete(id);
    for (const upstream of [job.upstream, ...job.helpers]) {
      this.loadOf(upstream).updateJob(id, undefined, now);
    }
  }

  /** Applies the full list of a daemon's jobs; jobs that are not listed have ended, unless just placed. */
  syncDaemon(vm: VmId, jobs: readonly PoolJob[], now: Timestamp): void {
    const listed = new Set(jobs.map((job) => job.id));
    for (const job of [...this.#jobs.values()]) {
      if (job.vm !== vm || listed.has(job.id)) continue;
      if (now - job.placedAt > UNLISTED_GRACE_MS) this.ended(job.id, now);
    }
    for (const job of jobs) this.syncJob({ ...job, placedAt: now }, now);
  }

  /** Applies a job that another daemon placed or listed. */
  syncJob(job: PoolJob, now: Timestamp): void {
    if (!this.#jobs.has(job.id)) this.add({ ...job, writing: false }, now);
    if (job.writing) this.started(job.id, now);
  }

  /** Removes all jobs of a daemon that is gone. */
  removeDaemon(vm: VmId, now: Timestamp): void {
    for (const job of [...this.#jobs.values()]) {
      if (job.vm === vm) this.ended(job.id, now);
    }
  }

  /** Removes idle upstreams whose ids are not given. */
  retainUpstreams(ids: ReadonlySet<UpstreamId>): void {
    for (const [id, upstreamLoad] of this.#loads) {
      if (!ids.has(id) && upstreamLoad.jobs.size === 0) this.#loads.delete(id);
    }
  }
}
