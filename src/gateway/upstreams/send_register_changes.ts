import { type GatewayBoard, storeProgressOf } from "../gateway_board.ts";
import type { GatewayStep } from "../gateway_controller.ts";
import { livenessTimeoutMs, otherPlacers } from "../members/membership.ts";
import type { StoreProgress } from "../peers/peer_message.ts";
import { UNKNOWN_ERA } from "../store/store_position.ts";
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
  const message = {
    type: "changes",
    from: self.card.vm,
    progress: update.progress ?? storeProgressOf(board, step.now),
    since: offset,
    ...(era === UNKNOWN_ERA ? {} : { sinceEra: era }),
    changes: update.changes,
    ...(update.snapshot === true ? { snapshot: true } : {}),
  } as const;
  for (const { peer } of peers) {
    step.emit({ type: "send", to: peer, message });
  }
}
