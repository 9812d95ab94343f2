import { addMs, type Millis, type Timestamp } from "../../core/time.ts";
import type { GatewayBoard } from "../gateway_board.ts";
import { fnv1aHash } from "../../core/fnv1a.ts";
import { livenessTimeoutMs } from "../members/membership.ts";

/** Time for the data of another daemon to reach one that has just been introduced: some round trips and a fetch. */
const FIRST_READ_DELAY_MS: Millis = 400;
/** Time for a better leader to become known to a daemon that has just been introduced to others. */
const ELECTION_MS: Millis = 100;
/** Shortest long poll. */
const MIN_WAIT_MS: Millis = 150;
/** Age, beyond one heartbeat and one read of the leader, at which a daemon reads the store itself. */
const STALE_MARGIN_MS: Millis = 300;
/** Delay per live daemon, so that the result of the first read can reach the others before they read. */
const STAGGER_MS_PER_MEMBER: Millis = 5;
/** Back-off per live daemon after a failed read, so that an unreachable store gets some 20 calls a second in all. */
const BACKOFF_MS_PER_MEMBER: Millis = 50;
/** Shorter than the 3 s without faults after which the platform expects every daemon to be up to date. */
const MAX_BACKOFF_MS: Millis = 2_500;

/**
 * When a leader that has read nothing begins to read the store.
 * Load pattern: hundreds of daemons start together, and most of them are the best candidate that they know for a moment.
 */
export function leaderReadsFrom(
  board: GatewayBoard,
  options: Readonly<{ now: Timestamp; isUnread: boolean }>,
): Timestamp {
  const { now, isUnread } = options;
  const { table, electedAt = now } = board.members;
  const alone = table.live(now, livenessTimeoutMs(board)).length === 0;
  return alone || !isUnread ? now : addMs(electedAt, ELECTION_MS);
}

/**
 * How long the store may hold the leader's next read, so that no more than `waitMs` passes between two answers: others
 * read the store themselves beyond that. An answer that came early is followed by a pause, which counts.
 */
export function leaderWaitMs(
  waitMs: Millis,
  ageMs: Millis,
): Millis {
  return Math.max(MIN_WAIT_MS, waitMs - Math.min(waitMs, ageMs));
}

/** When a daemon reads the store itself, as no fresh read of another daemon has reached it. */
export type FallbackRead = Readonly<{
  readAt: Timestamp;
  /** Shortest time after a failed read. */
  backoffMs: Millis;
}>;

/**
 * Spreads the store reads of daemons other than the leader.
 * Load pattern: with hundreds of daemons, the store refuses the leader or is down for all. The read of one daemon is
 * enough for all that its changes reach; a daemon that is cut off from the others does not wait for them.
 */
export function scheduleFallbackRead(
  board: GatewayBoard,
  options: Readonly<{
    now: Timestamp;
    /** As of when the data that the leader reads is known here. */
    asOf: Timestamp;
    /** Whether there is no such data here yet. */
    isUnread: boolean;
    /** Longest long poll of the leader's reads. */
    waitMs: Millis;
  }>,
): FallbackRead {
  const { now, asOf, isUnread, waitMs } = options;
  const { members, self } = board;
  const { introducedAt = now } = members;
  const staleAt = isUnread
    ? addMs(introducedAt, FIRST_READ_DELAY_MS)
    : addMs(asOf, members.heartbeatMs + waitMs + STALE_MARGIN_MS);
  if (now < staleAt) return { readAt: staleAt, backoffMs: 0 };
  const liveCount = members.table.live(now, livenessTimeoutMs(board)).length;
  const staggerFraction = (fnv1aHash(self.card.vm) % 1_024) / 1_024;
  return {
    readAt: addMs(staleAt, staggerFraction * liveCount * STAGGER_MS_PER_MEMBER),
    backoffMs: Math.min(MAX_BACKOFF_MS, liveCount * BACKOFF_MS_PER_MEMBER),
  };
}
