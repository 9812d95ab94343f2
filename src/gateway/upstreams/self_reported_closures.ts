import type { UpstreamId } from "../../core/id.ts";
import { addMs, type Timestamp } from "../../core/time.ts";
import type { UpstreamSigns } from "../requests/upstream_signs.ts";

/** Upstreams of which something is remembered; more than the largest deployment has. */
const MAX_UPSTREAMS = 1_024;

/** Why an upstream may be sent nothing new, and since when that is known. */
export type UpstreamClosure = Readonly<{
  reason: "gone" | "draining" | "backing_off";
  knownAt: Timestamp;
  /** When it opens again; absent where only another process can. */
  until?: Timestamp;
}>;

type ReportedState = {
  /** Unix time in ms of the start of the process that said it. */
  startedAt: number;
  leavingSince?: Timestamp;
  backoff?: Readonly<{ from: Timestamp; until: Timestamp }>;
};

/**
 * What upstreams have said of themselves to this daemon. It is about one process of each, and holds whatever the
 * register says, until another process takes its place or the time that it named is over.
 */
export class SelfReportedClosures {
  readonly #states = new Map<UpstreamId, ReportedState>();

  static create(): SelfReportedClosures {
    return new SelfReportedClosures();
  }

  /** Notes what an upstream's process said; returns whether it had not been known to leave. */
  record(
    id: UpstreamId,
    startedAt: number,
    report: Readonly<{ signs: UpstreamSigns; now: Timestamp }>,
  ): boolean {
    const { signs, now } = report;
    const known = this.#states.get(id);
    const state: ReportedState = known?.startedAt === startedAt
      ? known
      : { startedAt };
    this.#states.delete(id);
    this.#states.set(id, state);
    const isFirstLeaving = signs.leaving && state.leavingSince === undefined;
    if (isFirstLeaving) state.leavingSince = now;
    if (signs.backoffMs !== undefined) {
      const until = addMs(now, signs.backoffMs);
      state.backoff = { from: now, until };
    }
    for (const key of this.#states.keys()) {
      if (this.#states.size <= MAX_UPSTREAMS) break;
      this.#states.delete(key);
    }
    return isFirstLeaving;
  }

  /** Why a process of an upstream may be sent nothing now, as far as it has told itself. */
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
