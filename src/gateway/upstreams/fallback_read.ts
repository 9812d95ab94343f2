import { addMs, type Millis, type Timestamp } from "../../core/time.ts";
import type { GatewayBoard } from "../gateway_board.ts";
import { hash } from "../members/member_table.ts";
import { liveMs } from "../members/membership.ts";

/** Age, beyond what a heartbeat and a reading of the leader bring, at which a daemon reads for itself. */
const STALE_MARGIN_MS: Millis = 300;
/** Time by which each further daemon waits, so that the first one's reading may reach the others before they read. */
const STAGGER_MS_PER_MEMBER: Millis = 5;
/** Time for each daemon between failed readings, so that a store that is down is asked some 20 times a second. */
const BACKOFF_MS_PER_MEMBER: Millis = 50;
/** Most of it: shorter than the 3 s of calm after which the platform expects every daemon to be up to date. */
const MAX_BACKOFF_MS: Millis = 2_500;

/** When a daemon reads the store by itself, because no one else's fresh reading has reached it. */
export type FallbackRead = Readonly<{
  readAt: Timestamp;
  /** Shortest time after a failed reading. */
  backoffMs: Millis;
}>;

/**
 * Spreads the readings of daemons that read by themselves.
 * Load pattern: the store refuses the leader, or is down for all, before hundreds of daemons. One reading is enough
 * for all that hear of it; a daemon that is cut off from the others waits for no one.
 */
export function scheduleFallbackRead(
  board: GatewayBoard,
  options: Readonly<{
    now: Timestamp;
    /** As of when what the leader reads is known. */
    asOf: Timestamp;
    /** How long a reading of the leader waits at most. */
    waitMs: Millis;
  }>,
): FallbackRead {
  const { now, asOf, waitMs } = options;
  const { members, self } = board;
  const staleAt = addMs(asOf, members.heartbeatMs + waitMs + STALE_MARGIN_MS);
  if (now < staleAt) return { readAt: staleAt, backoffMs: 0 };
  const liveCount = members.table.live(now, liveMs(board)).length;
  const staggerFraction = (hash(self.card.vm) % 1_024) / 1_024;
  return {
    readAt: addMs(staleAt, staggerFraction * liveCount * STAGGER_MS_PER_MEMBER),
    backoffMs: Math.min(MAX_BACKOFF_MS, liveCount * BACKOFF_MS_PER_MEMBER),
  };
}
