import type { Refusal, Retry } from "../../core/reason.ts";
import type { Millis } from "../../core/time.ts";
import type { Verdict } from "../../core/verdict.ts";
import { isRepeatable, type Route } from "../serving/serving.ts";

/** How one attempt ended without an answer that the client should get. */
export type AttemptFailure = Readonly<{
  cause: Retry;
  verdict: Verdict;
  detail: string;
  /** Whether the upstream is to blame, and should be avoided for a while. */
  upstreamAtFault: boolean;
  /** Whether the connection broke while the upstream was at work. */
  disconnected?: boolean;
  /** Retry-After of the upstream. */
  retryAfterMs?: Millis;
}>;

/** What was tried so far for one request. */
export type RetryState = Readonly<{
  /** Attempts that were placed. */
  placed: number;
  /** Attempts that may have run. */
  possibleRuns: number;
  leftMs: Millis;
}>;

/** What to do after a failed attempt. */
export type RetryDecision =
  | Readonly<{ type: "retry" }>
  | Readonly<{ type: "give_up"; code: Refusal }>;

/** Attempts that are placed for one request at most, those that upstreams refused included. */
const MAX_PLACED = 5;
/** Time that must be left for another attempt; a shorter one hardly ends. */
const MIN_LEFT_MS: Millis = 40;

/** Decides whether a request is sent once more; never where it might run twice though it must not. */
export function decideRetry(
  route: Route,
  failure: AttemptFailure,
  state: RetryState,
): RetryDecision {
  if (state.leftMs < MIN_LEFT_MS) {
    return { type: "give_up", code: "deadline_exceeded" };
  }
  const mayRepeat = failure.verdict === "not_run" || isRepeatable(route);
  if (!mayRepeat) return { type: "give_up", code: "upstream_failed" };
  if (state.placed >= MAX_PLACED || state.possibleRuns >= route.maxAttempts) {
    const neverRan = failure.verdict === "not_run" && state.possibleRuns === 0;
    return {
      type: "give_up",
      code: neverRan ? "queue_full" : "upstream_failed",
    };
  }
  return { type: "retry" };
}
