import type { RequestEntry } from "../board/requests_section.ts";
import type { AttemptId, RequestId } from "../core/id.ts";
import type { Intent } from "../core/intent.ts";
import { lengthClass, type TimingName } from "../core/measurement.ts";
import type { Problem } from "../core/problem.ts";
import type { Outcome, Placement } from "../core/request.ts";
import type { StepContext } from "../core/step_context.ts";

/** Emits a timing with the milliseconds since the request arrived. */
export function reportTiming(
  ctx: StepContext,
  entry: RequestEntry,
  name: TimingName,
): void {
  const ms = ctx.now - entry.req.arrivedAt;
  const length = lengthClass(entry.req);
  ctx.emit({ type: "measured", timing: { name, ms, length } });
}

/** Log line of a request that ended with a complete answer. */
export function finishedLogLine(
  ctx: StepContext,
  entry: RequestEntry,
  outcome: Extract<Outcome, { type: "ok" }>,
): Extract<Intent, { type: "log_line" }> {
  const { req, attempt, attempts, ranUnder } = entry;
  const fields = {
    req: req.id,
    team: req.team,
    upstream: attempt?.placement.upstream ?? "",
    attempts,
    revision: ranUnder.revision,
    status: outcome.status,
    tokens: outcome.tokens,
    ms: ctx.now - req.arrivedAt,
  };
  return {
    type: "log_line",
    level: "info",
    message: "request finished",
    fields,
  };
}

/** Cancels the request's attempt, if there is one, on its upstream. */
export function cancelAttempt(ctx: StepContext, entry: RequestEntry): void {
  if (entry.attempt === undefined) return;
  const { id: attempt, placement } = entry.attempt;
  const { upstream } = placement;
  ctx.emit({ type: "cancel_attempt", req: entry.req.id, attempt, upstream });
}

/** Answers the client with a problem and counts it. */
export function answerProblem(
  ctx: StepContext,
  req: RequestId,
  cause: Problem,
): void {
  ctx.counters.refuse(cause.code);
  ctx.emit({ type: "answer", req, problem: cause });
}

/** Intent that starts an attempt of a request or reattaches to it. */
export function startAttemptIntent(
  entry: RequestEntry,
  attempt: AttemptId,
  options: { placement: Placement; mode: "fresh" | "resume" | "continue" },
) {
  return {
    type: "start_attempt",
    req: entry.req.id,
    attempt,
    placement: options.placement,
    weights: entry.weights,
    deadlineAt: entry.req.deadlineAt,
    ranUnder: entry.ranUnder,
    mode: options.mode,
  } as const;
}
