import type { UpstreamId, VmId } from "../../core/id.ts";
import type { Millis, Timestamp } from "../../core/time.ts";
import type { JobId, PoolJob } from "./pool_job.ts";
import { isSlow, UpstreamLoad } from "./upstream_load.ts";

/** A job that its daemon does not list for so long has ended; its grant may still be on the way. */
const UNLISTED_GRACE_MS: Millis = 1_000;

/** Keeps account of which job runs where. */
export class JobTracker {
  readonly #loads = new Map<UpstreamId, UpstreamLoad>();
  readonly #jobs = new Map<JobId, PoolJob>();

  static create(): JobTracker {
    return new JobTracker();
  }

  /** Jobs that hold a place. */
  get jobs(): ReadonlyMap<JobId, PoolJob> {
    return this.#jobs;
  }

  /** The load of one upstream. */
  loadOf(id: UpstreamId): UpstreamLoad {
    let created = this.#loads.get(id);
    if (created === undefined) {
      created = UpstreamLoad.create(id);
      this.#loads.set(id, created);
    }
    return created;
  }

  /** Engines that are known to be slow. */
  slowUpstreams(now: Timestamp): readonly UpstreamLoad[] {
    return [...this.#loads.values()].filter((upstream) =>
      isSlow(upstream.slowdownAt(now))
    );
  }

  /** Counts a place as taken. */
  add(job: PoolJob, now: Timestamp): void {
    this.#jobs.set(job.id, job);
    for (const upstream of [job.upstream, ...job.helpers]) {
      this.loadOf(upstream).add(job, now);
    }
  }

  /** Notes that a job's first event has come. */
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

  /** Notes that a job is over. */
  ended(id: JobId, now: Timestamp): void {
    const job = this.#jobs.get(id);
    if (job === undefined) return;
    this.#jobs.delete(id);
    for (const upstream of [job.upstream, ...job.helpers]) {
      this.loadOf(upstream).updateJob(id, undefined, now);
    }
  }

  /** Applies all jobs of one daemon; what it doesn't list has ended, unless it was placed just now. */
  syncDaemon(vm: VmId, jobs: readonly PoolJob[], now: Timestamp): void {
    const listed = new Set(jobs.map((job) => job.id));
    for (const job of [...this.#jobs.values()]) {
      if (job.vm !== vm || listed.has(job.id)) continue;
      if (now - job.placedAt > UNLISTED_GRACE_MS) this.ended(job.id, now);
    }
    for (const job of jobs) this.syncJob({ ...job, placedAt: now }, now);
  }

  /** Applies a job that another daemon has placed. */
  syncJob(job: PoolJob, now: Timestamp): void {
    if (!this.#jobs.has(job.id)) this.add({ ...job, writing: false }, now);
    if (job.writing) this.started(job.id, now);
  }

  /** Forgets a daemon that is gone, with all that it ran. */
  removeDaemon(vm: VmId, now: Timestamp): void {
    for (const job of [...this.#jobs.values()]) {
      if (job.vm === vm) this.ended(job.id, now);
    }
  }

  /** Forgets upstreams that are no longer listed. */
  retainUpstreams(ids: ReadonlySet<UpstreamId>): void {
    for (const [id, upstreamLoad] of this.#loads) {
      if (!ids.has(id) && upstreamLoad.jobs.size === 0) this.#loads.delete(id);
    }
  }
}
