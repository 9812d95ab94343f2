import type { Blackboard } from "../board/blackboard.ts";
import type { Digest } from "../core/id.ts";
import type { Timestamp } from "../core/time.ts";
import type { CellPlacementRequest } from "../scheduling/cell_placement.ts";
import type { BlockSuspicion } from "../suspects/block_suspects.ts";

/** What speaks against the leading blocks of a prompt; undefined if nothing does. */
export function suspicionOfBlocks(
  board: Blackboard,
  ask: CellPlacementRequest,
  now: Timestamp,
): BlockSuspicion | undefined {
  const { blocks, silentRuns } = board.quarantine;
  if (blocks.size === 0 && silentRuns.size === 0) return undefined;
  const silentBlocks = countSilentBlocks(board, ask.blocks);
  return blocks.suspicionOf(ask.blocks, ask.request, { now, silentBlocks });
}

/** Number of leading blocks that engines ran when they fell silent. */
function countSilentBlocks(
  board: Blackboard,
  blocks: readonly Digest[],
): number {
  let count = 0;
  for (const runs of board.quarantine.silentRuns.values()) {
    for (const run of runs) {
      while (count < blocks.length && shares(run.blocks ?? [], blocks, count)) {
        count += 1;
      }
    }
  }
  return count;
}

/** Whether two prompts have the same block at a position; as digests are chained, the earlier ones are equal too. */
function shares(
  a: readonly Digest[],
  b: readonly Digest[],
  index: number,
): boolean {
  return a[index] !== undefined && a[index] === b[index];
}
