import { evictOldest } from "../../../core/evict_oldest.ts";
import { addMs, type Millis, type Timestamp } from "../../../core/time.ts";
import type { PlacementRequest } from "../pool_job.ts";

/** Callers that are remembered; the oldest entry goes first. */
const MAX_CALLERS = 20_000;

type Caller = Pick<PlacementRequest, "digest" | "leftMs">;
/** When a caller was refused, and the deadline that it had. */
export type RefusalTimes = Readonly<
  { refusedAt: Timestamp; deadlineAt: Timestamp }
>;

/**
 * Whether a caller comes again after this refusal: it keeps its deadline, up to the time that it takes to connect.
 * Another one who sends the same content has a deadline that is later by the time since the refusal.
 */
export function keepsDeadline(
  refusal: RefusalTimes,
  caller: Pick<PlacementRequest, "leftMs">,
  now: Timestamp,
): boolean {
  const laterMs = addMs(now, caller.leftMs) - refusal.deadlineAt;
  return laterMs < (now - refusal.refusedAt) / 2;
}

/** Remembers when callers were refused first, by the digest of caller and content. */
export class RefusedCallers {
  readonly #refused = new Map<string, RefusalTimes>();

  static create(): RefusedCallers {
    return new RefusedCallers();
  }

  /** Records a refusal; later ones of the same caller don't change the time. */
  refused(caller: Caller, now: Timestamp): void {
    if (this.waitedMs(caller, now) > 0) return;
    const { digest, leftMs } = caller;
    this.#refused.delete(digest);
    this.#refused.set(digest, {
      refusedAt: now,
      deadlineAt: addMs(now, leftMs),
    });
    evictOldest(this.#refused, MAX_CALLERS);
  }

  /** Time for which a caller has waited since it was refused first; 0 if it is new. */
  waitedMs(caller: Caller, now: Timestamp): Millis {
    const entry = this.#refused.get(caller.digest);
    if (entry === undefined) return 0;
    return keepsDeadline(entry, caller, now) ? now - entry.refusedAt : 0;
  }
}
