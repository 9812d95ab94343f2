import type { Blackboard } from "../board/blackboard.ts";
import type { RequestEntry } from "../board/requests_section.ts";
import { type Problem, problem } from "../core/problem.ts";
import type { Refusal, Retry } from "../core/reason.ts";
import type { Outcome } from "../core/request.ts";
import type { RetryBudget } from "../core/retry_budget.ts";
import type { Timestamp } from "../core/time.ts";
import { unresponsiveEngines } from "../scheduling/unresponsive_engines.ts";

/** What to do after a failed attempt. */
export type RetryDecision =
  | Readonly<{ type: "give_up"; problem: Problem }>
  /** Opens a new connection to the same running stream. */
  | Readonly<{ type: "reattach" }>
  /** Places the request again. */
  | Readonly<{ type: "again" }>;

type Failure = Extract<Outcome, { type: "failed" }>;

const FINAL_CODES: Readonly<Record<Retry, Refusal>> = {
  connect_failed: "no_upstream",
  upstream_refused: "upstream_refused",
  upstream_crashed: "upstream_failed",
  upstream_silent: "upstream_failed",
  upstream_leaving: "no_upstream",
  upstream_backing_off: "no_upstream",
  upstream_rate_limited: "no_upstream",
  answer_broken: "answer_broken",
  resume_failed: "upstream_failed",
  plan_broken: "upstream_failed",
};

/** Decides what follows a failed attempt; a call that must run at most once is retried only after `not_run`. */
export function decideRetry(
  entry: RequestEntry,
  outcome: Failure,
  options: { board: Blackboard; budget: RetryBudget; now: Timestamp },
): RetryDecision {
  const { board, budget, now } = options;
  if (entry.once && entry.verdict !== "not_run") return giveUp(entry, outcome);
  if (board.quarantine.quarantined.has(entry.req.digest)) {
    return { type: "give_up", problem: quarantinedProblem(entry) };
  }
  const canReattachNow = canReattach(entry, outcome, { board });
  if (!entry.replayable && !canReattachNow) return giveUp(entry, outcome);
  if (mayCrashThirdEngine(entry, outcome, board)) return giveUp(entry, outcome);
  const maxAttempts = board.config.serving?.limits.maxAttempts ?? 1;
  if (!canReattachNow && entry.attempts >= maxAttempts) {
    return giveUp(entry, outcome);
  }
  if (!budget.trySpend(now)) {
    const detail =
      `The retry budget is exhausted; the last attempt failed with: ${outcome.detail}`;
    const retryAfterMs = budget.waitMs(now);
    return {
      type: "give_up",
      problem: problem("retry_budget", detail, {
        verdict: entry.verdict,
        retryAfterMs,
      }),
    };
  }
  return { type: canReattachNow ? "reattach" : "again" };
}

/**
 * Whether to reattach to the running stream, which the engine may still produce if only the connection was lost. Not on
 * an unresponsive engine, which has stopped reporting while others report.
 */
export function canReattach(
  entry: RequestEntry,
  outcome: Failure,
  options: Readonly<{ board: Blackboard }>,
): boolean {
  if (entry.req.kind !== "prompt" || entry.reattached || outcome.crashed) {
    return false;
  }
  if (outcome.cause === "answer_broken") return true;
  const upstream = entry.attempt?.placement.upstream;
  const unresponsive = unresponsiveEngines(
    options.board.upstreams.byId.values(),
  );
  return outcome.cause === "upstream_silent" &&
    (upstream === undefined || !unresponsive.has(upstream));
}

/** Whether an attempt ended by silence, without reattaching, may still run on its engine and crash it. */
export function mayRunOnSilentEngine(
  entry: RequestEntry,
  outcome: Failure,
  options: Readonly<{ board: Blackboard }>,
): boolean {
  return entry.req.kind === "prompt" && outcome.cause === "upstream_silent" &&
    outcome.verdict === "may_have_run" &&
    !canReattach(entry, outcome, options);
}

/**
 * Whether a retry could crash a third engine: content that crashed one engine and may still run on a silent engine
 * counts as having crashed both.
 */
function mayCrashThirdEngine(
  entry: RequestEntry,
  outcome: Failure,
  board: Blackboard,
): boolean {
  return mayRunOnSilentEngine(entry, outcome, { board }) &&
    board.quarantine.suspects.has(entry.req.digest);
}

function giveUp(
  entry: RequestEntry,
  outcome: Failure,
): RetryDecision {
  const code = FINAL_CODES[outcome.cause];
  return {
    type: "give_up",
    problem: problem(code, outcome.detail, { verdict: entry.verdict }),
  };
}

function quarantinedProblem(entry: RequestEntry): Problem {
  const detail = "Each engine that ran this content crashed.";
  return problem("quarantined", detail, { verdict: entry.verdict });
}
