import type { VmId } from "../../core/id.ts";
import type { Millis, Timestamp } from "../../core/time.ts";
import type { GatewayBoard } from "../gateway_board.ts";

/** Shortest time between heartbeats; a leader that doesn't reply is detected after two intervals. */
const MIN_HEARTBEAT_INTERVAL_MS: Millis = 400;
/** Interval per daemon in a large system; limits the leader to about 120 heartbeats per second. */
const HEARTBEAT_INTERVAL_MS_PER_MEMBER: Millis = 8;
/** Heartbeats that may be lost before a daemon counts as down. */
const MAX_LOST_HEARTBEATS = 3;

/** Time between the heartbeats of each daemon in a system of `daemons` daemons. */
export function heartbeatIntervalMs(daemons: number): Millis {
  return Math.max(
    MIN_HEARTBEAT_INTERVAL_MS,
    daemons * HEARTBEAT_INTERVAL_MS_PER_MEMBER,
  );
}

/** The leader and the deputy, without this daemon. */
export function otherPlacers(board: GatewayBoard): readonly VmId[] {
  const { leader, deputy } = board.members;
  return [leader, deputy].filter((vm): vm is VmId =>
    vm !== undefined && vm !== board.self.card.vm
  );
}

/**
 * Whether this daemon is the leader and at least half of all known daemons, itself included, are live. In a network
 * partition that is not an exact halving, at most one side has such a leader.
 */
export function leadsAtLeastHalf(board: GatewayBoard, now: Timestamp): boolean {
  const { leader, table } = board.members;
  if (leader !== board.self.card.vm) return false;
  const live = table.live(now, livenessTimeoutMs(board)).length;
  return 2 * (live + 1) >= table.all().length + 1;
}

/** Time without a message after which a daemon counts as down. */
export function livenessTimeoutMs(board: GatewayBoard): Millis {
  return MAX_LOST_HEARTBEATS * board.members.heartbeatMs +
    MIN_HEARTBEAT_INTERVAL_MS;
}

/** Whether this daemon has the configuration and the register, and is not draining. */
export function isReady(board: GatewayBoard): boolean {
  return board.self.drainingSince === undefined &&
    board.serving.routes !== undefined && board.register.offset >= 0;
}
