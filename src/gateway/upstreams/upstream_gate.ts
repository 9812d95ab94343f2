import type { UpstreamId } from "../../core/id.ts";
import { addMs, type Timestamp } from "../../core/time.ts";
import type { UpstreamAvailability } from "../requests/upstream_availability.ts";

/** Upstreams of which something is remembered; more than the largest deployment has. */
const MAX_UPSTREAMS = 1_024;

/** Why an upstream may be sent nothing new, and since when that is known. */
export type Closure = Readonly<{
  reason: "gone" | "draining" | "backing_off";
  knownAt: Timestamp;
  /** When it opens again; absent where only another process can. */
  until?: Timestamp;
}>;

type Told = {
  /** Unix time in ms of the start of the process that said it. */
  startedAt: number;
  leavingSince?: Timestamp;
  backoff?: Readonly<{ from: Timestamp; until: Timestamp }>;
};

/**
 * What upstreams have said of themselves to this daemon. It is about one process of each, and holds whatever the
 * register says, until another process takes its place or the time that it named is over.
 */
export class UpstreamGate {
  readonly #told = new Map<UpstreamId, Told>();

  static create(): UpstreamGate {
    return new UpstreamGate();
  }

  /** Notes what an upstream's process said; returns whether it had not been known to leave. */
  note(
    id: UpstreamId,
    startedAt: number,
    said: Readonly<{ signs: UpstreamAvailability; now: Timestamp }>,
  ): boolean {
    const { signs, now } = said;
    const known = this.#told.get(id);
    const told: Told = known?.startedAt === startedAt ? known : { startedAt };
    this.#told.delete(id);
    this.#told.set(id, told);
    const isNew = signs.leaving && told.leavingSince === undefined;
    if (isNew) told.leavingSince = now;
    if (signs.backoffMs !== undefined) {
      const until = addMs(now, signs.backoffMs);
      told.backoff = { from: now, until };
    }
    for (const key of this.#told.keys()) {
      if (this.#told.size <= MAX_UPSTREAMS) break;
      this.#told.delete(key);
    }
    return isNew;
  }

  /** Why a process of an upstream may be sent nothing now, as far as it has told itself. */
  closure(
    id: UpstreamId,
    startedAt: number,
    now: Timestamp,
  ): Closure | undefined {
    const known = this.#told.get(id);
    const told = known?.startedAt === startedAt ? known : undefined;
    if (told?.leavingSince !== undefined) {
      return { reason: "draining", knownAt: told.leavingSince };
    }
    const { backoff } = told ?? {};
    if (backoff === undefined || backoff.until <= now) return undefined;
    const { from, until } = backoff;
    return { reason: "backing_off", knownAt: from, until };
  }
}
