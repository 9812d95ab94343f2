import type { VmId } from "../../core/id.ts";
import type { Millis, Timestamp } from "../../core/time.ts";
import type { PeerCard } from "../peers/peer_message.ts";
import type { GatewayBoard } from "../gateway_board.ts";

/** Shortest time between heartbeats; a leader that doesn't reply is detected after two intervals. */
const MIN_HEARTBEAT_INTERVAL_MS: Millis = 400;
/** Interval per daemon in a large system; limits the leader to 200 heartbeats per second. */
const HEARTBEAT_INTERVAL_MS_PER_MEMBER: Millis = 5;
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

/** Whether this daemon is the leader of a majority; in a network partition at most one side has such a leader. */
export function leadsMajority(board: GatewayBoard, now: Timestamp): boolean {
  return board.members.leader === board.self.card.vm && inMajority(board, now);
}

/**
 * Whether more than half of all known daemons, this one included, are live; of exact halves, the one with the lowest
 * VM id is the majority.
 */
export function inMajority(board: GatewayBoard, now: Timestamp): boolean {
  const { table } = board.members;
  const { vm: self } = board.self.card;
  const live = table.live(now, livenessTimeoutMs(board));
  const excess = 2 * (live.length + 1) - (table.all().length + 1);
  return excess > 0 ||
    (excess === 0 && lowestVm(live, self) === lowestVm(table.all(), self));
}

function lowestVm(cards: readonly PeerCard[], self: VmId): VmId {
  return cards.reduce((lowest, { vm }) => vm < lowest ? vm : lowest, self);
}

/** Time without a message after which a daemon counts as down. */
export function livenessTimeoutMs(board: GatewayBoard): Millis {
  return MAX_LOST_HEARTBEATS * board.members.heartbeatMs +
    MIN_HEARTBEAT_INTERVAL_MS;
}

/** Whether this daemon has a configuration as new as those of its peers, and the register, and is not draining. */
export function isReady(board: GatewayBoard): boolean {
  return board.self.drainingSince === undefined &&
    board.serving.caughtUp && board.register.position.offset >= 0;
}
