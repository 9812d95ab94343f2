import type { UpstreamId } from "../../core/id.ts";
import { addMs, type Millis, type Timestamp } from "../../core/time.ts";
import type { JobId, PoolJob } from "./pool_job.ts";

/** A first event that takes so many times its prediction, and so much longer, is looked into. */
const LATE_FACTOR = 2;
const LATE_MARGIN_MS: Millis = 120;
/**
 * Time between two looks at one engine, as its report is some hundred ms old anyway; each report that shows nothing
 * doubles it, since the first events may be late for other reasons.
 */
const INSPECTION_INTERVAL_MS: Millis = 500;
const MAX_INSPECTION_INTERVAL_MS: Millis = 8_000;
/** Time between looks at an engine that is known to be slow, to notice that it has recovered. */
const SLOW_INSPECTION_INTERVAL_MS: Millis = 1_000;

/** Time between looks at all engines after one of them has turned out to be slow. */
const MIN_SWEEP_INTERVAL_MS: Millis = 1_000;

type ExpectedEvent = Readonly<{
  engines: readonly UpstreamId[];
  lateAt: Timestamp;
}>;

/**
 * Names the engines whose own report of their pace is worth a call: those that work on a prompt whose first event is
 * late, and those that were slow when last asked.
 * Load pattern: a part of the engines turns slow at once. What they did arouses the suspicion, as an engine that says
 * nothing looks idle; the report decides which engine of several that read one prompt it was.
 */
export class SlowEngineDetector {
  readonly #expected = new Map<JobId, ExpectedEvent>();
  readonly #suspects = new Set<UpstreamId>();
  readonly #inspectedAt = new Map<UpstreamId, Timestamp>();
  readonly #intervalMs = new Map<UpstreamId, Millis>();
  #sweptAt = -Infinity as Timestamp;

  static create(): SlowEngineDetector {
    return new SlowEngineDetector();
  }

  /** Expects the first event of a prompt that was just placed. */
  expectFirstEvent(job: PoolJob, expectMs: Millis, now: Timestamp): void {
    this.#expected.set(job.id, {
      engines: [job.upstream, ...job.helpers],
      lateAt: addMs(now, expectMs * LATE_FACTOR + LATE_MARGIN_MS),
    });
  }

  /** The first event has come. */
  firstEventReceived(job: JobId, now: Timestamp): void {
    const event = this.#expected.get(job);
    this.#expected.delete(job);
    if (event !== undefined && now > event.lateAt) this.#addSuspects(event);
  }

  removeJob(job: JobId): void {
    this.#expected.delete(job);
  }

  /** What an engine has reported. */
  recordReport(id: UpstreamId, slow: boolean): void {
    const intervalMs = this.#intervalMs.get(id) ?? INSPECTION_INTERVAL_MS;
    this.#intervalMs.set(
      id,
      slow
        ? INSPECTION_INTERVAL_MS
        : Math.min(MAX_INSPECTION_INTERVAL_MS, 2 * intervalMs),
    );
  }

  /** An engine has turned out to be slow: what made it so may have reached the others. */
  suspectOthers(others: readonly UpstreamId[], now: Timestamp): void {
    if (now - this.#sweptAt < MIN_SWEEP_INTERVAL_MS) return;
    this.#sweptAt = now;
    for (const id of others) this.#suspects.add(id);
  }

  /** Engines to be asked now. */
  dueInspections(
    now: Timestamp,
    slow: readonly UpstreamId[],
  ): readonly UpstreamId[] {
    for (const event of this.#expected.values()) {
      if (now > event.lateAt) this.#addSuspects(event);
    }
    const inspections: UpstreamId[] = [];
    const addIfDue = (id: UpstreamId, intervalMs: Millis) => {
      const inspectedAt = this.#inspectedAt.get(id);
      if (inspectedAt !== undefined && now - inspectedAt < intervalMs) return;
      this.#inspectedAt.set(id, now);
      inspections.push(id);
    };
    for (const id of this.#suspects) {
      addIfDue(id, this.#intervalMs.get(id) ?? INSPECTION_INTERVAL_MS);
    }
    for (const id of slow) addIfDue(id, SLOW_INSPECTION_INTERVAL_MS);
    this.#suspects.clear();
    return inspections;
  }

  /** Forgets engines that are no longer listed. */
  retainEngines(ids: ReadonlySet<UpstreamId>): void {
    for (const id of this.#inspectedAt.keys()) {
      if (ids.has(id)) continue;
      this.#inspectedAt.delete(id);
      this.#intervalMs.delete(id);
    }
  }

  #addSuspects(event: ExpectedEvent): void {
    for (const id of event.engines) this.#suspects.add(id);
  }
}
