import type { Refusal, Retry } from "../../core/reason.ts";
import type { Millis } from "../../core/time.ts";
import type { Verdict } from "../../core/verdict.ts";
import { isRepeatable, type Route } from "../serving/serving_config.ts";

/** Failure of one attempt, whose response must not reach the client. */
export type AttemptFailure = Readonly<{
  cause: Retry;
  verdict: Verdict;
  detail: string;
  /** Whether the upstream is at fault, and is to be avoided for a while. */
  upstreamAtFault: boolean;
  /** Whether the connection was lost after the request may have reached the upstream. */
  disconnected?: boolean;
  /** Whether the upstream's address refused the connection, as no process listens on it. */
  unreachable?: boolean;
  /** Retry-After that the upstream sent. */
  retryAfterMs?: Millis;
}>;

/** Attempts at one request so far, and the time left. */
export type RetryState = Readonly<{
  /** Attempts that were placed. */
  placed: number;
  /** Attempts that may have run. */
  possibleRuns: number;
  leftMs: Millis;
}>;

/** Decision after a failed attempt. */
export type RetryDecision =
  | Readonly<{ type: "retry" }>
  | Readonly<{ type: "give_up"; code: Refusal }>;

/** Retry-After of a failure that may be transient. */
export const RETRY_AFTER_MS: Millis = 200;
/** Most attempts that are placed for one request, including those that upstreams refused. */
const MAX_PLACED = 5;
/** Least time left for another attempt; with less it is unlikely to finish. */
const MIN_LEFT_MS: Millis = 40;

/** Decides whether to retry a request; one that is not repeatable is retried only after the verdict `not_run`. */
export function decideRetry(
  route: Route,
  failure: Pick<AttemptFailure, "verdict">,
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
