import type { Blackboard } from "../board/blackboard.ts";
import type { RequestEntry } from "../board/requests_section.ts";
import type { Digest } from "../core/id.ts";
import type { PromptRequest, Request } from "../core/request.ts";
import type { CellPlacementRequest } from "../scheduling/cell_placement.ts";
import { askBlocks } from "../scheduling/place_messages.ts";

const DEFAULT_URGENCY = 5;

/** The placement request that is sent to the scheduling daemon for a prompt. */
export function toAsk(
  board: Blackboard,
  entry: RequestEntry,
  req: PromptRequest,
): CellPlacementRequest {
  const classes = board.config.serving?.classes ?? [];
  const urgency = classes.find((cls) => cls.id === req.classId)?.urgency;
  return {
    request: req.id,
    round: entry.round,
    from: board.self.id,
    team: req.team,
    weights: entry.weights!,
    promptTokens: req.promptTokens + entry.tokens,
    maxTokens: Math.max(1, req.maxTokens - entry.tokens),
    urgency: urgency ?? DEFAULT_URGENCY,
    arrivedAt: req.arrivedAt,
    deadlineAt: req.deadlineAt,
    digest: req.digest,
    blocks: askBlocks(req.blocks),
    excluded: entry.excluded,
    suspect: false,
  };
}

/** The leading blocks of a request as shortened for messages; calls have none. */
export function blocksOf(req: Request): readonly Digest[] {
  return req.kind === "prompt" ? askBlocks(req.blocks) : [];
}

/** Whether the content of a prompt, or one of its leading blocks, may have crashed an engine. */
export function isSuspect(
  board: Blackboard,
  ask: CellPlacementRequest,
): boolean {
  const { suspects, silentRuns, blocks } = board.quarantine;
  return suspects.has(ask.digest) || silentRuns.has(ask.digest) ||
    blocks.hasCrashed(ask.blocks);
}

/** Sets `suspect` on an ask whose content may have crashed an engine. */
export function withSuspectFlag(
  board: Blackboard,
  ask: CellPlacementRequest,
): CellPlacementRequest {
  const suspect = ask.suspect || ask.excluded.length > 0 ||
    isSuspect(board, ask);
  return { ...ask, suspect };
}
