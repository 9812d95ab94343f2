import type { GatewayBoard } from "../gateway_board.ts";
import type { GatewayStep } from "../gateway_controller.ts";
import type { StoreProgress } from "../peers/peer_message.ts";
import type { StorePosition } from "../store/store_position.ts";
import { sendRegisterChanges } from "./send_register_changes.ts";
import type { UpstreamChange, UpstreamUpdate } from "./upstream_table.ts";

/** Makes updates of the table known to the other controllers of this daemon, and logs them. */
export function publishUpdates(
  board: GatewayBoard,
  step: GatewayStep,
  updates: readonly UpstreamUpdate[],
  /** Where the statements come from that led to the updates, and how far the register was read before. */
  positions?: Readonly<{ received: StorePosition; known: StorePosition }>,
): void {
  board.register.updates = [...board.register.updates, ...updates];
  for (const { kind, id } of updates) {
    const isHeld = kind === "kept" || kind === "overruled";
    step.line("upstream", {
      upstream: id,
      how: kind,
      ...(isHeld && positions !== undefined
        ? {
          era: positions.received.era,
          offset: positions.received.offset,
          known_era: positions.known.era,
          known_offset: positions.known.offset,
        }
        : {}),
    });
    if (kind === "restarted") {
      step.emit({ type: "upstream_lost", upstream: id });
    }
  }
}

/**
 * Sends what this daemon has read. Where the store refuses the leader, the first daemon that reads by itself reaches
 * all others through the leader. Returns whether there were changes.
 */
export function sendOwnUpdates(
  board: GatewayBoard,
  step: GatewayStep,
  updates: readonly UpstreamUpdate[],
  /** Whether the updates come from a whole table, which may be an older copy. */
  options: Readonly<{ snapshot: boolean }>,
): boolean {
  const { members, self } = board;
  const changes = changesOf(board, updates);
  const leads = members.leader === self.card.vm;
  // Other daemons send their progress without changes too: a leader that can't read needs it.
  if (leads && changes.length === 0) return false;
  sendRegisterChanges(board, step, { changes, snapshot: options.snapshot });
  return changes.length > 0;
}

/** Sends on, as the leader, the changes that another daemon has read first. */
export function relayPeerUpdates(
  board: GatewayBoard,
  step: GatewayStep,
  received: Readonly<
    {
      progress: StoreProgress;
      updates: readonly UpstreamUpdate[];
      snapshot: boolean;
    }
  >,
): void {
  const { members, self } = board;
  const { progress, updates, snapshot } = received;
  const changes = changesOf(board, updates);
  if (changes.length === 0 || members.leader !== self.card.vm) return;
  sendRegisterChanges(board, step, { changes, progress, snapshot });
}

/** Changes to send for updates: the entries as they are now, and the ids that are gone. */
function changesOf(
  board: GatewayBoard,
  updates: readonly UpstreamUpdate[],
): readonly UpstreamChange[] {
  return updates.flatMap(({ kind, id }): UpstreamChange[] => {
    if (kind === "kept" || kind === "overruled") return [];
    const entry = board.register.table.get(id);
    return entry === undefined ? [{ type: "gone", id }] : [
      { type: "entry", entry },
    ];
  });
}
