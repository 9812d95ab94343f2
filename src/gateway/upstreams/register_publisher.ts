import type { Timestamp } from "../../core/time.ts";
import { type GatewayBoard, storeProgressOf } from "../gateway_board.ts";
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
  const isFirst = positions !== undefined && positions.known.offset < 0;
  if (isFirst && updates.length > 0) {
    step.line("upstreams_read", {
      count: updates.length,
      era: positions.received.era,
      offset: positions.received.offset,
    });
  }
  for (const { kind, id } of updates) {
    // Thousands of lines in the first second would delay what a daemon that has just started does.
    if (isFirst && kind === "joined") continue;
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
  const changes = changesOf(board, updates, step.now);
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
  const changes = changesOf(board, updates, step.now);
  if (changes.length === 0 || members.leader !== self.card.vm) return;
  sendRegisterChanges(board, step, { changes, progress, snapshot });
}

/** Asks another daemon for its whole table; it sends it if this daemon's position is behind, or always if `whole`. */
export function requestEntries(
  board: GatewayBoard,
  step: GatewayStep,
  to: string,
  options: Readonly<{ whole?: boolean }> = {},
): void {
  const progress = storeProgressOf(board, step.now);
  step.emit({
    type: "send",
    to,
    message: {
      type: "heartbeat",
      from: board.self.card,
      progress: options.whole === true ? { ...progress, offset: -1 } : progress,
      fetches: true,
      jobs: [],
    },
  });
}

/** Changes to send for updates: the entries as they are now, and the ids that are gone. */
function changesOf(
  board: GatewayBoard,
  updates: readonly UpstreamUpdate[],
  now: Timestamp,
): readonly UpstreamChange[] {
  const { table } = board.register;
  const kept = new Map(table.kept(now).map(({ id, keptMs }) => [id, keptMs]));
  return updates.flatMap(({ kind, id }): UpstreamChange[] => {
    if (kind === "overruled") return [];
    const keptMs = kept.get(id);
    if (keptMs !== undefined) return [{ type: "gone", id, keptMs }];
    const entry = table.get(id);
    return entry === undefined ? [{ type: "gone", id }] : [
      { type: "entry", entry },
    ];
  });
}
