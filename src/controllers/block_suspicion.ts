import type { Blackboard } from "../board/blackboard.ts";
import type { Timestamp } from "../core/time.ts";
import type { CellPlacementRequest } from "../scheduling/cell_placement.ts";
import { CrashJudge } from "./crash_verdict.ts";
import type { BlockSuspicion } from "../suspects/block_suspects.ts";

/** What speaks against the leading blocks of a prompt; undefined if nothing does. */
export function suspicionOfBlocks(
  board: Blackboard,
  ask: CellPlacementRequest,
  now: Timestamp,
): BlockSuspicion | undefined {
  const { blocks, silentRuns } = board.quarantine;
  if (blocks.size === 0 && silentRuns.size === 0) return undefined;
  const runs = [...silentRuns.values()].flat();
  const silentBlocks = new Set(runs.flatMap((run) => run.blocks ?? []));
  let crashes: CrashJudge | undefined;
  return blocks.suspicionOf(ask.blocks, ask.request, {
    now,
    silentBlocks,
    judge: (block, processes) => {
      crashes ??= CrashJudge.create(board, now);
      return crashes.judgeBlock(block, processes);
    },
  });
}
