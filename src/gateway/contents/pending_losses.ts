import type { UpstreamId } from "../../core/id.ts";
import type { Millis, Timestamp } from "../../core/time.ts";
import type { JobId } from "../../scheduling/pool/pool_job.ts";

/** Time within which a crash shows in the register: the upstream's entry lapses, or another process replaces it. */
const CONFIRMATION_WINDOW_MS: Millis = 10_000;
/** Time within which a broken connection still counts after the upstream was shown to be gone or replaced. */
const LATE_FAILURE_WINDOW_MS: Millis = 1_000;
/** Holds, for all upstreams, the parts of twenty requests with the longest list of new parts. */
const MAX_KEYS = 65_536;
/** More than the largest deployment has. */
const MAX_UPSTREAMS = 1_024;

/** Loss of contact with an upstream while it may have been running a request. */
export type UpstreamLoss = Readonly<{
  job: JobId;
  at: Timestamp;
  /** When the request was sent to the upstream. */
  sentAt: Timestamp;
  /** Time since the first data of the response; 0 before it. */
  answeringMs: Millis;
  /** Unix time in ms of the start of the upstream's process, by the register; 0 where unknown. */
  startedAt: number;
  /** Whether the connection broke; otherwise the upstream fell silent. */
  disconnected: boolean;
}>;

/** How the end of an upstream's process became known. */
type EndedProcess = Readonly<{
  at: Timestamp;
  /** Start of the process that ended; absent where the register showed it, which then knows the next process. */
  startedAt?: number;
  /** Jobs whose losses have been counted for this end. */
  jobs: ReadonlySet<JobId>;
}>;

/** Contents and parts that lost upstreams may have been running, kept until it is known whether the process ended. */
export class PendingLosses {
  readonly #losses = new Map<UpstreamId, Map<string, UpstreamLoss>>();
  /** Upstreams whose process ended recently; attempts there may fail only afterwards. */
  readonly #ended = new Map<UpstreamId, EndedProcess>();

  static create(): PendingLosses {
    return new PendingLosses();
  }

  /** Adds a loss of all `keys`; returns whether it is already known that the upstream's process has ended. */
  add(
    keys: readonly string[],
    upstream: UpstreamId,
    loss: UpstreamLoss,
  ): boolean {
    const { at, disconnected, startedAt } = loss;
    const ended = this.#ended.get(upstream);
    // A silent upstream was lost before its connection broke.
    if (ended?.jobs.has(loss.job) === true) return false;
    const losses = this.#lossesOf(upstream, at);
    // The latest loss of a key is the last one, so that the oldest ones are found first.
    for (const key of keys) {
      losses.delete(key);
      losses.set(key, loss);
    }
    this.#losses.delete(upstream);
    this.#losses.set(upstream, losses);
    dropOldest(this.#losses, MAX_UPSTREAMS);
    this.#dropExcess();
    if (ended === undefined) return false;
    const isSameProcess = ended.startedAt === undefined ||
      (disconnected && ended.startedAt === startedAt);
    // A leaving upstream serves on after its entry is gone, then closes its connections: that is no crash.
    return isSameProcess && at - ended.at <=
        (disconnected ? LATE_FAILURE_WINDOW_MS : CONFIRMATION_WINDOW_MS);
  }

  /** Losses of one upstream, by key. */
  of(
    upstream: UpstreamId,
    now: Timestamp,
  ): ReadonlyMap<string, UpstreamLoss> {
    return this.#lossesOf(upstream, now);
  }

  /** Whether an upstream was lost with a key, and may have ended. */
  includes(key: string): boolean {
    return [...this.#losses.values()].some((losses) => losses.has(key));
  }

  /** Drops losses of upstreams that have not turned out to have ended. */
  expire(now: Timestamp): void {
    for (const upstream of this.#losses.keys()) this.#lossesOf(upstream, now);
  }

  /** Removes and returns the losses that count as crashes, as the upstream's process has ended. */
  takeCrashes(
    upstream: UpstreamId,
    now: Timestamp,
  ): ReadonlyMap<string, UpstreamLoss> {
    const losses = this.takeLosses(upstream, now);
    const ended = this.#ended.get(upstream);
    if (ended === undefined) return losses;
    const counted = [...losses.values()].map(({ job }) => job);
    const jobs = new Set([...ended.jobs, ...counted]);
    this.#ended.set(upstream, { ...ended, jobs });
    return losses;
  }

  /** Removes and returns the losses of an upstream, by key. */
  takeLosses(
    upstream: UpstreamId,
    now: Timestamp,
  ): ReadonlyMap<string, UpstreamLoss> {
    const losses = this.#lossesOf(upstream, now);
    this.#losses.delete(upstream);
    return losses;
  }

  /** Records that an upstream's process has ended; `startedAt` is its start, unless the register showed the end. */
  processEnded(
    upstream: UpstreamId,
    now: Timestamp,
    startedAt?: number,
  ): void {
    const jobs = this.#ended.get(upstream)?.jobs ?? new Set();
    this.#ended.delete(upstream);
    this.#ended.set(upstream, { at: now, startedAt, jobs });
    for (const [id, { at }] of this.#ended) {
      if (now - at > CONFIRMATION_WINDOW_MS) this.#ended.delete(id);
    }
  }

  /** Removes the losses by which a job's upstream fell silent. */
  clearSilence(
    upstream: UpstreamId,
    job: JobId,
    options: Readonly<{ now: Timestamp }>,
  ): void {
    const losses = this.#lossesOf(upstream, options.now);
    for (const [key, loss] of losses) {
      if (loss.job === job && !loss.disconnected) losses.delete(key);
    }
    if (losses.size === 0) this.#losses.delete(upstream);
  }

  /** Removes the losses of a content or part that ran successfully. */
  clear(key: string): void {
    for (const losses of this.#losses.values()) losses.delete(key);
  }

  #lossesOf(upstream: UpstreamId, now: Timestamp): Map<string, UpstreamLoss> {
    const losses = this.#losses.get(upstream) ??
      new Map<string, UpstreamLoss>();
    for (const [key, { at }] of losses) {
      if (now - at <= CONFIRMATION_WINDOW_MS) break;
      losses.delete(key);
    }
    if (losses.size === 0) this.#losses.delete(upstream);
    return losses;
  }

  /** Drops the oldest losses of the upstreams that were lost first. */
  #dropExcess(): void {
    let size = 0;
    for (const losses of this.#losses.values()) size += losses.size;
    for (const [upstream, losses] of this.#losses) {
      if (size <= MAX_KEYS) return;
      const kept = Math.max(0, losses.size - (size - MAX_KEYS));
      size -= losses.size - kept;
      dropOldest(losses, kept);
      if (kept === 0) this.#losses.delete(upstream);
    }
  }
}

/** Drops the entries that were inserted first. */
function dropOldest<K>(map: Map<K, unknown>, maxSize: number): void {
  for (const key of map.keys()) {
    if (map.size <= maxSize) return;
    map.delete(key);
  }
}
