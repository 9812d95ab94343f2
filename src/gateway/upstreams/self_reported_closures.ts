import type { UpstreamId } from "../../core/id.ts";
import { addMs, type Timestamp } from "../../core/time.ts";
import type { UpstreamAvailability } from "../requests/upstream_availability.ts";

/** More than the largest deployment has. */
const MAX_UPSTREAMS = 1_024;

/** Why an upstream is closed to new requests, and since when that is known. */
export type UpstreamClosure = Readonly<{
  reason: "gone" | "draining" | "evacuated" | "backing_off" | "uncounted";
  knownAt: Timestamp;
  /** When it opens again; absent where that is not known. */
  until?: Timestamp;
}>;

/** What one process of an upstream has announced. */
type ReportedState = {
  /** Unix time in ms of the start of the process. */
  startedAt: number;
  leavingSince?: Timestamp;
  backoff?: Readonly<{ from: Timestamp; until: Timestamp }>;
};

/**
 * Drains and back-offs that upstreams have announced. Each applies to one process of the upstream, whatever the
 * register says, until another process replaces it or the back-off has passed.
 */
export class SelfReportedClosures {
  readonly #states = new Map<UpstreamId, ReportedState>();

  static create(): SelfReportedClosures {
    return new SelfReportedClosures();
  }

  /** Number of upstreams that have announced something, replaced ones included. */
  get size(): number {
    return this.#states.size;
  }

  /** Records the announcement of an upstream's process; returns whether it is its first to announce leaving. */
  record(
    id: UpstreamId,
    startedAt: number,
    report: Readonly<{ availability: UpstreamAvailability; now: Timestamp }>,
  ): boolean {
    const { availability, now } = report;
    const known = this.#states.get(id);
    const state: ReportedState = known?.startedAt === startedAt
      ? known
      : { startedAt };
    this.#states.delete(id);
    this.#states.set(id, state);
    const isFirstLeaving = availability.leaving &&
      state.leavingSince === undefined;
    if (isFirstLeaving) state.leavingSince = now;
    if (availability.backoffMs !== undefined) {
      const until = addMs(now, availability.backoffMs);
      // Each response names a time of its own, and all of them hold.
      const isLatest = until > (state.backoff?.until ?? -Infinity);
      if (isLatest) state.backoff = { from: now, until };
    }
    for (const key of this.#states.keys()) {
      if (this.#states.size <= MAX_UPSTREAMS) break;
      this.#states.delete(key);
    }
    return isFirstLeaving;
  }

  /** Why a process of an upstream is closed by its own announcements; undefined where it is open. */
  closure(
    id: UpstreamId,
    startedAt: number,
    now: Timestamp,
  ): UpstreamClosure | undefined {
    const known = this.#states.get(id);
    const state = known?.startedAt === startedAt ? known : undefined;
    if (state?.leavingSince !== undefined) {
      return { reason: "draining", knownAt: state.leavingSince };
    }
    const { backoff } = state ?? {};
    if (backoff === undefined || backoff.until <= now) return undefined;
    const { from, until } = backoff;
    return { reason: "backing_off", knownAt: from, until };
  }
}
