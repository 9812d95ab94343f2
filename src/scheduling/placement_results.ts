import type { PlanId } from "../core/id.ts";
import { problem } from "../core/problem.ts";
import type { Placement } from "../core/request.ts";
import { type Millis, SECOND_MS } from "../core/time.ts";
import type { CellPlacementResult } from "./cell_placement.ts";
import { type Job, lastPart, segmentsOf } from "./job.ts";

const MAX_RETRY_AFTER_MS: Millis = 120 * SECOND_MS;
/** Shortest Retry-After, and the one for a prompt that no engine has room for. */
export const MIN_RETRY_AFTER_MS: Millis = SECOND_MS;

/** Result for a placed job; with several parts it contains a plan. */
export function grant(job: Job): CellPlacementResult {
  const { priority, parts, ask } = job;
  const placement: Placement = {
    upstream: lastPart(job).engine,
    priority,
  };
  if (parts.length === 1) return { type: "granted", placement };
  const id = `${ask.request}-${ask.round}` as PlanId;
  return {
    type: "granted",
    placement: { ...placement, plan: { id, segments: segmentsOf(job) } },
  };
}

/** Refusal: no live engine can serve the prompt. */
export function refuseNoUpstream(): CellPlacementResult {
  const detail = "No live engine can serve this now.";
  return {
    type: "refused",
    problem: problem("no_upstream", detail, {
      retryAfterMs: MIN_RETRY_AFTER_MS,
    }),
  };
}

/** Refusal: the engines can't hold the prompt even when idle. */
export function refuseTooLong(): CellPlacementResult {
  const detail = "The engines can't hold this prompt, even when they are free.";
  return { type: "refused", problem: problem("prompt_too_long", detail) };
}

/** Refusal: no engine is expected to have room within `waitMs`. */
export function refuseFull(waitMs: Millis): CellPlacementResult {
  const detail = "The engines have no room for this prompt now.";
  const retryAfterMs = clampRetry(waitMs);
  return {
    type: "refused",
    problem: problem("no_memory", detail, { retryAfterMs }),
  };
}

/** Refusal: the predicted completion is `excessMs` later than the deadline allows. */
export function refuseLate(excessMs: Millis): CellPlacementResult {
  const detail = "The predicted completion lies after the deadline.";
  const retryAfterMs = clampRetry(excessMs);
  return {
    type: "refused",
    problem: problem("deadline_unreachable", detail, { retryAfterMs }),
  };
}

function clampRetry(ms: Millis): Millis {
  return Math.ceil(
    Math.max(MIN_RETRY_AFTER_MS, Math.min(MAX_RETRY_AFTER_MS, ms)),
  );
}
