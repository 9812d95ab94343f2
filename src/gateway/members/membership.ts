import type { VmId } from "../../core/id.ts";
import type { Millis, Timestamp } from "../../core/time.ts";
import type { GatewayBoard } from "../gateway_board.ts";

/** Time between heartbeats in a small system; a silent leader is noticed after two of them. */
const MIN_HEARTBEAT_INTERVAL_MS: Millis = 400;
/** Time between heartbeats for each member, so that the leader of a large system hears some 120 a second. */
const HEARTBEAT_INTERVAL_MS_PER_MEMBER: Millis = 8;
/** Heartbeats that may be lost before a daemon counts as gone. */
const MAX_LOST_HEARTBEATS = 3;

/** Time between the heartbeats of each daemon in a system of this many. */
export function heartbeatIntervalMs(daemons: number): Millis {
  return Math.max(
    MIN_HEARTBEAT_INTERVAL_MS,
    daemons * HEARTBEAT_INTERVAL_MS_PER_MEMBER,
  );
}

/** The daemons that place, or would place next, beside this one. */
export function otherPlacers(board: GatewayBoard): readonly VmId[] {
  const { leader, deputy } = board.members;
  return [leader, deputy].filter((vm): vm is VmId =>
    vm !== undefined && vm !== board.self.card.vm
  );
}

/** Whether this daemon leads at least half of all that it has ever heard of: at most one side of a cut has such a leader. */
export function leadsAtLeastHalf(board: GatewayBoard, now: Timestamp): boolean {
  const { leader, table } = board.members;
  if (leader !== board.self.card.vm) return false;
  const live = table.live(now, livenessTimeoutMs(board)).length;
  return 2 * (live + 1) >= table.all().length + 1;
}

/** Silence after which a daemon counts as gone. */
export function livenessTimeoutMs(board: GatewayBoard): Millis {
  return MAX_LOST_HEARTBEATS * board.members.heartbeatMs +
    MIN_HEARTBEAT_INTERVAL_MS;
}

/** Whether a daemon knows enough to serve, and is not leaving. */
export function isReady(board: GatewayBoard): boolean {
  return board.self.drainingSince === undefined &&
    board.serving.routes !== undefined && board.register.offset >= 0;
}
