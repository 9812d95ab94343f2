import type { UpstreamId } from "../../core/id.ts";
import { addMs, type Millis, type Timestamp } from "../../core/time.ts";
import type { JobId, PoolJob } from "./pool_job.ts";

/** A first event that takes so many times its prediction, and so much longer, is looked into. */
const LATE_FACTOR = 2;
const LATE_MS: Millis = 120;
/**
 * Time between two looks at one engine, as its report is some hundred ms old anyway; each report that shows nothing
 * doubles it, since the first events may be late for other reasons.
 */
const LOOK_MS: Millis = 500;
const MAX_LOOK_MS: Millis = 8_000;
/** Time between looks at an engine that is known to be slow, to notice that it has recovered. */
const RECHECK_MS: Millis = 1_000;

/** Time between looks at all engines after one of them has turned out to be slow. */
const SWEEP_MS: Millis = 1_000;

type Expected = Readonly<{
  engines: readonly UpstreamId[];
  lateAt: Timestamp;
}>;

/**
 * Names the engines whose own report of their pace is worth a call: those that work on a prompt whose first event is
 * late, and those that were slow when last asked.
 * Load pattern: a part of the engines turns slow at once. What they did arouses the suspicion, as an engine that says
 * nothing looks idle; the report decides which engine of several that read one prompt it was.
 */
export class SlowWatch {
  readonly #expected = new Map<JobId, Expected>();
  readonly #suspects = new Set<UpstreamId>();
  readonly #lookedAt = new Map<UpstreamId, Timestamp>();
  readonly #lookMs = new Map<UpstreamId, Millis>();
  #sweptAt = -Infinity as Timestamp;

  static create(): SlowWatch {
    return new SlowWatch();
  }

  /** Expects the first event of a prompt that was just placed. */
  placed(job: PoolJob, expectMs: Millis, now: Timestamp): void {
    this.#expected.set(job.id, {
      engines: [job.upstream, ...job.helpers],
      lateAt: addMs(now, expectMs * LATE_FACTOR + LATE_MS),
    });
  }

  /** The first event has come. */
  started(job: JobId, now: Timestamp): void {
    const one = this.#expected.get(job);
    this.#expected.delete(job);
    if (one !== undefined && now > one.lateAt) this.#suspect(one);
  }

  ended(job: JobId): void {
    this.#expected.delete(job);
  }

  /** What an engine has reported. */
  reported(id: UpstreamId, slow: boolean): void {
    const known = this.#lookMs.get(id) ?? LOOK_MS;
    this.#lookMs.set(id, slow ? LOOK_MS : Math.min(MAX_LOOK_MS, 2 * known));
  }

  /** An engine has turned out to be slow: what made it so may have reached the others. */
  foundSlow(others: readonly UpstreamId[], now: Timestamp): void {
    if (now - this.#sweptAt < SWEEP_MS) return;
    this.#sweptAt = now;
    for (const id of others) this.#suspects.add(id);
  }

  /** Engines to be asked now. */
  due(now: Timestamp, slow: readonly UpstreamId[]): readonly UpstreamId[] {
    for (const one of this.#expected.values()) {
      if (now > one.lateAt) this.#suspect(one);
    }
    const due: UpstreamId[] = [];
    const look = (id: UpstreamId, gapMs: Millis) => {
      const at = this.#lookedAt.get(id);
      if (at !== undefined && now - at < gapMs) return;
      this.#lookedAt.set(id, now);
      due.push(id);
    };
    for (const id of this.#suspects) {
      look(id, this.#lookMs.get(id) ?? LOOK_MS);
    }
    for (const id of slow) look(id, RECHECK_MS);
    this.#suspects.clear();
    return due;
  }

  /** Forgets engines that are no longer listed. */
  retain(ids: ReadonlySet<UpstreamId>): void {
    for (const id of this.#lookedAt.keys()) {
      if (ids.has(id)) continue;
      this.#lookedAt.delete(id);
      this.#lookMs.delete(id);
    }
  }

  #suspect(one: Expected): void {
    for (const id of one.engines) this.#suspects.add(id);
  }
}
