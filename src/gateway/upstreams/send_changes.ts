import { type GatewayBoard, storeProgressOf } from "../gateway_board.ts";
import type { GatewayStep } from "../gateway_controller.ts";
import { headsOf, liveMs } from "../members/membership.ts";
import type { StoreProgress } from "../peers/peer_message.ts";
import type { UpstreamChange } from "./upstream_table.ts";

/**
 * Passes on changes of the register, or only how far the store was read: the leader to all live daemons, any other
 * one to those that place.
 */
export function sendChanges(
  board: GatewayBoard,
  step: GatewayStep,
  update: Readonly<{
    changes: readonly UpstreamChange[];
    /** Absent: this daemon's own. */
    progress?: StoreProgress;
  }>,
): void {
  const { members, self, register } = board;
  const leads = members.leader === self.card.vm;
  const peers = leads
    ? members.table.live(step.now, liveMs(board))
    : headsOf(board).flatMap((vm) => members.table.get(vm) ?? []);
  const message = {
    type: "changes",
    from: self.card.vm,
    progress: update.progress ?? storeProgressOf(board, step.now),
    since: register.lastChangeOffset,
    changes: update.changes,
  } as const;
  for (const { peer } of peers) {
    step.emit({ type: "send", to: peer, message });
  }
}
