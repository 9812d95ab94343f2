import type { Blackboard } from "../board/blackboard.ts";
import type { Digest } from "../core/id.ts";
import { problem } from "../core/problem.ts";
import type { StepContext } from "../core/step_context.ts";
import { type Millis, SECOND_MS, type Timestamp } from "../core/time.ts";
import type {
  CellPlacementRequest,
  GateDecision,
} from "../scheduling/cell_placement.ts";
import type { Job } from "../scheduling/job.ts";
import type { BlockSuspicion } from "../suspects/block_suspects.ts";
import type { CrashVerdict } from "../suspects/crash_evidence.ts";
import {
  CRASHES_TO_QUARANTINE,
  mayHaveReachedCrashLimit,
} from "./crash_limit.ts";
import { CrashJudge } from "./crash_verdict.ts";
import { withSuspectFlag } from "./place_ask.ts";
import { suspicionOfBlocks } from "./block_suspicion.ts";

/** Longest time for which a running prompt holds back others with the same suspected block. */
const MAX_PROBE_MS: Millis = 10 * SECOND_MS;
const MIN_RETRY_AFTER_MS: Millis = SECOND_MS;

/** Decides by the content and the leading blocks of a prompt whether it may be placed now; `jobs` are the placed ones. */
export function judgeSuspect(
  board: Blackboard,
  ctx: StepContext,
  ask: CellPlacementRequest,
  jobs: () => Iterable<Job>,
): GateDecision {
  const verdict = verdictOf(board, ctx, ask);
  // An answer of this step may have left the content as the only suspect.
  if (board.quarantine.quarantined.has(ask.digest) || verdict === "guilty") {
    const detail = "Each engine that ran this content crashed.";
    return { type: "refused", problem: problem("quarantined", detail) };
  }
  if (verdict === "open") return { type: "queued" };
  if (mustWait(board, ask, jobs)) return { type: "queued" };
  const flagged = withSuspectFlag(board, ask);
  const suspicion = suspicionOfBlocks(board, ask, ctx.now);
  if (suspicion === undefined) return { type: "run", ask: flagged };
  const held = judgeBlock(board, ctx, ask, { suspicion, jobs });
  return held ?? { type: "run", ask: { ...flagged, suspect: true } };
}

/** What the crashes of the content say; logged where others may have caused them. */
function verdictOf(
  board: Blackboard,
  ctx: StepContext,
  ask: CellPlacementRequest,
): CrashVerdict | undefined {
  const known = board.quarantine.suspects.get(ask.digest);
  if (known === undefined) return undefined;
  if (known.crashes.length < CRASHES_TO_QUARANTINE) return undefined;
  const judge = CrashJudge.create(board, ctx.now);
  const verdict = judge.judgeContent(ask.digest);
  if (verdict === "open") {
    const message =
      "prompt held until others that may have crashed its engines have run";
    const crashes = known.crashes.length;
    const fields = { req: ask.request, content: ask.digest, crashes };
    logSuspicion(ctx, message, fields);
  }
  return verdict;
}

/** Suspect content runs in one copy at a time; other copies wait, and their daemons ask again. */
function mustWait(
  board: Blackboard,
  ask: CellPlacementRequest,
  jobs: () => Iterable<Job>,
): boolean {
  if (mayHaveReachedCrashLimit(board, ask.digest)) return true;
  return board.quarantine.suspects.has(ask.digest) &&
    isAnyOther(ask, jobs(), (job) => job.ask.digest === ask.digest);
}

/**
 * Load pattern: prompts that differ and share a block that crashes engines. Until the block is answered or has crashed
 * two engines, they run one at a time; after that, as trials at growing intervals.
 */
function judgeBlock(
  board: Blackboard,
  ctx: StepContext,
  ask: CellPlacementRequest,
  options: Readonly<{ suspicion: BlockSuspicion; jobs: () => Iterable<Job> }>,
): Exclude<GateDecision, { type: "run" }> | undefined {
  const { suspicion, jobs } = options;
  const { block, index, crashes, trialWaitMs } = suspicion;
  const isHeld = isAnyOther(
    ask,
    jobs(),
    (job) => holds(job, block, index, ctx.now),
  );
  if (suspicion.isOpen) return { type: "queued" };
  if (trialWaitMs === undefined) return isHeld ? { type: "queued" } : undefined;
  const fields = { req: ask.request, block, crashes };
  if (trialWaitMs > 0 || isHeld) {
    const retryAfterMs = Math.ceil(Math.max(MIN_RETRY_AFTER_MS, trialWaitMs));
    const line = { ...fields, retry_after_ms: retryAfterMs };
    logSuspicion(ctx, "prompt refused for a block that crashes engines", line);
    const detail = "Engines that ran the start of this prompt crashed.";
    return {
      type: "refused",
      problem: problem("quarantined", detail, { retryAfterMs }),
    };
  }
  const { blocks } = board.quarantine;
  if (blocks.startTrial(ask.blocks, ask.request, ctx.now)) {
    logSuspicion(ctx, "trial of a block that crashed engines", fields);
  }
  return undefined;
}

/** Whether a running prompt shares the block, so that its outcome is worth waiting for. */
function holds(
  job: Job,
  block: Digest,
  index: number,
  now: Timestamp,
): boolean {
  return job.ask.blocks[index] === block && now - job.placedAt <= MAX_PROBE_MS;
}

function isAnyOther(
  ask: CellPlacementRequest,
  jobs: Iterable<Job>,
  matches: (job: Job) => boolean,
): boolean {
  for (const job of jobs) {
    if (job.ask.request !== ask.request && matches(job)) return true;
  }
  return false;
}

function logSuspicion(
  ctx: StepContext,
  message: string,
  fields: Readonly<Record<string, string | number>>,
): void {
  ctx.emit({ type: "log_line", level: "warn", message, fields });
}
