import type { UpstreamId, VmId } from "../../core/id.ts";
import type { Millis, Timestamp } from "../../core/time.ts";
import type { JobId, PoolJob } from "./pool_job.ts";
import { isSlow, UpstreamLoad } from "./upstream_load.ts";

/** A job that its daemon does not list for so long has ended; its grant may still be on the way. */
const UNREPORTED_MS: Millis = 1_000;

/** Keeps account of which job runs where. */
export class PoolAccounts {
  readonly #loads = new Map<UpstreamId, UpstreamLoad>();
  readonly #jobs = new Map<JobId, PoolJob>();

  static create(): PoolAccounts {
    return new PoolAccounts();
  }

  /** Jobs that hold a place. */
  get jobs(): ReadonlyMap<JobId, PoolJob> {
    return this.#jobs;
  }

  /** The load of one upstream. */
  load(id: UpstreamId): UpstreamLoad {
    let load = this.#loads.get(id);
    if (load === undefined) {
      load = UpstreamLoad.create(id);
      this.#loads.set(id, load);
    }
    return load;
  }

  /** Engines that are known to be slow. */
  slow(now: Timestamp): readonly UpstreamLoad[] {
    return [...this.#loads.values()].filter((one) => isSlow(one.paceAt(now)));
  }

  /** Counts a place as taken. */
  add(job: PoolJob, now: Timestamp): void {
    this.#jobs.set(job.id, job);
    for (const upstream of [job.upstream, ...job.helpers]) {
      this.load(upstream).add(job, now);
    }
  }

  /** Notes that a job's first event has come. */
  started(id: JobId, now: Timestamp): void {
    const job = this.#jobs.get(id);
    if (job === undefined || job.writing) return;
    const writing = { ...job, writing: true };
    this.#jobs.set(id, writing);
    this.load(job.upstream).settle(id, writing, now);
    for (const helper of job.helpers) {
      const holds = job.tickets.some((ticket) => ticket.upstream === helper);
      this.load(helper).settle(id, holds ? writing : undefined, now);
    }
  }

  /** Notes that a job is over. */
  ended(id: JobId, now: Timestamp): void {
    const job = this.#jobs.get(id);
    if (job === undefined) return;
    this.#jobs.delete(id);
    for (const upstream of [job.upstream, ...job.helpers]) {
      this.load(upstream).settle(id, undefined, now);
    }
  }

  /** Applies all jobs of one daemon; what it doesn't list has ended, unless it was placed just now. */
  adopt(vm: VmId, jobs: readonly PoolJob[], now: Timestamp): void {
    const listed = new Set(jobs.map((job) => job.id));
    for (const job of [...this.#jobs.values()]) {
      if (job.vm !== vm || listed.has(job.id)) continue;
      if (now - job.placedAt > UNREPORTED_MS) this.ended(job.id, now);
    }
    for (const job of jobs) this.adoptOne({ ...job, placedAt: now }, now);
  }

  /** Applies a job that another daemon has placed. */
  adoptOne(job: PoolJob, now: Timestamp): void {
    if (!this.#jobs.has(job.id)) this.add({ ...job, writing: false }, now);
    if (job.writing) this.started(job.id, now);
  }

  /** Forgets a daemon that is gone, with all that it ran. */
  forget(vm: VmId, now: Timestamp): void {
    for (const job of [...this.#jobs.values()]) {
      if (job.vm === vm) this.ended(job.id, now);
    }
  }

  /** Forgets upstreams that are no longer listed. */
  retain(ids: ReadonlySet<UpstreamId>): void {
    for (const [id, load] of this.#loads) {
      if (!ids.has(id) && load.jobs.size === 0) this.#loads.delete(id);
    }
  }
}
