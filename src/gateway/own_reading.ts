import type { Millis, Timestamp } from "../core/time.ts";
import { hash, type MemberTable } from "./member_table.ts";
import type { PeerCard } from "./peer_message.ts";

/** Time by which each further daemon waits, so that the first one's reading may reach the others before they read. */
const STAGGER_MS_PER_MEMBER: Millis = 5;
/** Time for each daemon between failed readings, so that a store that is down is asked some 20 times a second. */
const BACKOFF_MS_PER_MEMBER: Millis = 50;
/** Most of it: shorter than the 3 s of calm after which the platform expects every daemon to be up to date. */
const MAX_BACKOFF_MS: Millis = 2_500;

/** When daemons read the store by themselves, because no one else's fresh reading has reached them. */
export type OwnReading = Readonly<{
  /** Extra age, different for each daemon, at which it starts. */
  staggerMs: Millis;
  /** Shortest time after a failed reading. */
  backoffMs: Millis;
}>;

/**
 * Spreads the readings of daemons that read by themselves.
 * Load pattern: the store refuses the leader, or is down for all, before hundreds of daemons. One reading is enough
 * for all that hear of it; a daemon that is cut off from the others waits for no one.
 */
export function ownReading(
  self: PeerCard,
  peers: Readonly<{ table: MemberTable; now: Timestamp; liveMs: Millis }>,
): OwnReading {
  const { table, now, liveMs } = peers;
  const live = table.live(now, liveMs).length;
  const part = (hash(self.vm) % 1_024) / 1_024;
  return {
    staggerMs: part * live * STAGGER_MS_PER_MEMBER,
    backoffMs: Math.min(MAX_BACKOFF_MS, live * BACKOFF_MS_PER_MEMBER),
  };
}
