import { type GatewayBoard, storeProgressOf } from "../gateway_board.ts";
import type { GatewayStep } from "../gateway_controller.ts";
import { livenessTimeoutMs, otherPlacers } from "../members/membership.ts";
import type { PeerMessage, StoreProgress } from "../peers/peer_message.ts";
import { UNKNOWN_ERA } from "../store/store_position.ts";
import { MAX_DATAGRAM_ENTRIES } from "./table_message.ts";
import type { UpstreamChange } from "./upstream_table.ts";

/**
 * Sends changes of the register, or only the read progress, to other daemons: from the leader to all live daemons,
 * from any other daemon to the leader and the deputy.
 */
export function sendRegisterChanges(
  board: GatewayBoard,
  step: GatewayStep,
  update: Readonly<{
    changes: readonly UpstreamChange[];
    /** Progress of the daemon that read the changes; absent for this daemon. */
    progress?: StoreProgress;
    /** Whether the changes come from a whole table, which may be an older copy. */
    snapshot?: boolean;
  }>,
): void {
  const { members, self, register } = board;
  const leads = members.leader === self.card.vm;
  const peers = leads
    ? members.table.live(step.now, livenessTimeoutMs(board))
    : otherPlacers(board).flatMap((vm) => members.table.get(vm) ?? []);
  const { era, offset } = register.lastChange;
  const message: Changes = {
    type: "changes",
    from: self.card.vm,
    progress: update.progress ?? storeProgressOf(board, step.now),
    since: offset,
    ...(era === UNKNOWN_ERA ? {} : { sinceEra: era }),
    changes: update.changes,
    ...(update.snapshot === true ? { snapshot: true } : {}),
  };
  for (const part of inParts(message)) {
    for (const { peer } of peers) {
      step.emit({ type: "send", to: peer, message: part });
    }
  }
}

type Changes = Extract<PeerMessage, { type: "changes" }>;

/**
 * Splits changes that don't fit a datagram. Each part continues from the one before, so that a receiver that misses one
 * asks for the table. Where the offsets don't suffice, as after the first read of the register, nothing is sent: the
 * receivers fetch the table once a heartbeat shows that they are behind.
 */
function inParts(message: Changes): readonly Changes[] {
  const { changes, since, progress } = message;
  const count = Math.ceil(changes.length / MAX_DATAGRAM_ENTRIES);
  if (count <= 1) return [message];
  if (progress.offset - since < count || since < 0) return [];
  return Array.from({ length: count }, (_, index) => {
    const from = index * MAX_DATAGRAM_ENTRIES;
    const isLast = index === count - 1;
    const offset = isLast ? progress.offset : since + index + 1;
    return {
      ...message,
      since: since + index,
      progress: { ...progress, offset },
      changes: changes.slice(from, from + MAX_DATAGRAM_ENTRIES),
    };
  });
}
