import type { UpstreamId } from "../../core/id.ts";
import { addMs, type Millis, type Timestamp } from "../../core/time.ts";
import type { JobId, PoolJob } from "./pool_job.ts";

/** A first event is late after the predicted time multiplied by this factor, plus the margin. */
const LATE_FACTOR = 2;
const LATE_MARGIN_MS: Millis = 120;
/**
 * Shortest time between inspections of an engine, as its report is some hundred ms old anyway. Each report that shows
 * no slowness doubles the time, since first events may be late for other reasons.
 */
const INSPECTION_INTERVAL_MS: Millis = 500;
const MAX_INSPECTION_INTERVAL_MS: Millis = 8_000;
/** Time between inspections of an engine that is known to be slow, to detect its recovery. */
const SLOW_INSPECTION_INTERVAL_MS: Millis = 1_000;

/** Shortest time between inspections of all engines after an engine was found to be slow. */
const MIN_SWEEP_INTERVAL_MS: Millis = 1_000;

type ExpectedEvent = Readonly<{
  engines: readonly UpstreamId[];
  lateAt: Timestamp;
}>;

/**
 * Selects engines whose load report should be fetched: those that take part in a prompt whose first event is late, and
 * those that were slow at the last inspection.
 * Load pattern: some engines become slow at the same time. Late first events raise the suspicion, as a slow engine
 * looks like an idle one until it answers; the report tells which of the engines that share a prompt is slow.
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

  /** Starts to wait for the first event of a placed prompt. */
  expectFirstEvent(job: PoolJob, expectMs: Millis, now: Timestamp): void {
    this.#expected.set(job.id, {
      engines: [job.upstream, ...job.helpers],
      lateAt: addMs(now, expectMs * LATE_FACTOR + LATE_MARGIN_MS),
    });
  }

  /** Records a prompt's first event; a late event makes the prompt's engines suspects. */
  firstEventReceived(job: JobId, now: Timestamp): void {
    const event = this.#expected.get(job);
    this.#expected.delete(job);
    if (event !== undefined && now > event.lateAt) this.#addSuspects(event);
  }

  removeJob(job: JobId): void {
    this.#expected.delete(job);
  }

  /** Records whether an engine's report shows that it is slow, which sets the time to its next inspection. */
  recordReport(id: UpstreamId, slow: boolean): void {
    const intervalMs = this.#intervalMs.get(id) ?? INSPECTION_INTERVAL_MS;
    this.#intervalMs.set(
      id,
      slow
        ? INSPECTION_INTERVAL_MS
        : Math.min(MAX_INSPECTION_INTERVAL_MS, 2 * intervalMs),
    );
  }

  /** Makes all given engines suspects after an engine was found to be slow: they may have the same cause. */
  suspectOthers(others: readonly UpstreamId[], now: Timestamp): void {
    if (now - this.#sweptAt < MIN_SWEEP_INTERVAL_MS) return;
    this.#sweptAt = now;
    for (const id of others) this.#suspects.add(id);
  }

  /** Returns the engines to inspect now; `slow` are the engines known to be slow. */
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

  /** Removes engines whose ids are not given. */
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
