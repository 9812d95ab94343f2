import { addMs, type Millis, type Timestamp } from "../../../core/time.ts";
import type { PlacementRequest } from "../pool_job.ts";

/** Callers that are remembered; the oldest entry goes first. */
const MAX_CALLERS = 20_000;
/** A caller who comes again keeps its deadline, up to the time that requests take on their way. */
const DEADLINE_SLACK_MS: Millis = 250;

type Caller = Pick<PlacementRequest, "digest" | "leftMs">;
type Entry = Readonly<{ at: Timestamp; deadlineAt: Timestamp }>;

/**
 * Whether a caller comes again that had this deadline: it keeps it, and another one who sends the same content has a
 * deadline of its own.
 */
export function keepsDeadline(
  deadlineAt: Timestamp,
  caller: Pick<PlacementRequest, "leftMs">,
  now: Timestamp,
): boolean {
  return Math.abs(now + caller.leftMs - deadlineAt) <= DEADLINE_SLACK_MS;
}

/** Remembers when callers were refused first, by the digest of caller and content. */
export class RefusedCallers {
  readonly #refused = new Map<string, Entry>();

  static create(): RefusedCallers {
    return new RefusedCallers();
  }

  /** Records a refusal; later ones of the same caller don't change the time. */
  refused(caller: Caller, now: Timestamp): void {
    if (this.waitedMs(caller, now) > 0) return;
    const { digest, leftMs } = caller;
    this.#refused.delete(digest);
    this.#refused.set(digest, { at: now, deadlineAt: addMs(now, leftMs) });
    if (this.#refused.size <= MAX_CALLERS) return;
    const [oldest] = this.#refused.keys();
    this.#refused.delete(oldest!);
  }

  /** Time for which a caller has waited since it was refused first; 0 if it is new. */
  waitedMs(caller: Caller, now: Timestamp): Millis {
    const entry = this.#refused.get(caller.digest);
    if (entry === undefined) return 0;
    return keepsDeadline(entry.deadlineAt, caller, now) ? now - entry.at : 0;
  }
}
