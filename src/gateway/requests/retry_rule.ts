import type { Refusal, Retry } from "../../core/reason.ts";
import type { Millis } from "../../core/time.ts";
import type { Verdict } from "../../core/verdict.ts";
import { isRepeatable, type Route } from "../serving/serving_config.ts";

/** How one attempt ended without an answer that the client should get. */
export type AttemptFailure = Readonly<{
  cause: Retry;
  verdict: Verdict;
  detail: string;
  /** Whether the upstream is to blame, and should be avoided for a while. */
  blamed: boolean;
  /** Whether the connection broke while the upstream was at work. */
  disconnected?: boolean;
  /** Retry-After of the upstream. */
  retryAfterMs?: Millis;
}>;

/** What was tried so far for one request. */
export type Tries = Readonly<{
  /** Attempts that were placed. */
  placed: number;
  /** Attempts that may have run. */
  runs: number;
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
  tries: Tries,
): RetryDecision {
  if (tries.leftMs < MIN_LEFT_MS) {
    return { type: "give_up", code: "deadline_exceeded" };
  }
  const mayRepeat = failure.verdict === "not_run" || isRepeatable(route);
  if (!mayRepeat) return { type: "give_up", code: "upstream_failed" };
  if (tries.placed >= MAX_PLACED || tries.runs >= route.maxAttempts) {
    const refused = failure.verdict === "not_run" && tries.runs === 0;
    return {
      type: "give_up",
      code: refused ? "queue_full" : "upstream_failed",
    };
  }
  return { type: "retry" };
}
