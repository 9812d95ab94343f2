import { type Refusal, REFUSALS } from "./reason.ts";
import type { Millis } from "./time.ts";
import type { Verdict } from "./verdict.ts";

/** Final response to a request that was refused or has failed. */
export type Problem = Readonly<{
  code: Refusal;
  verdict: Verdict;
  detail: string;
  /** Time after which a retry may succeed; absent where no retry would. */
  retryAfterMs?: Millis;
}>;

/** Builds a problem; the verdict defaults to `not_run`. */
export function problem(
  code: Refusal,
  detail: string,
  options: { verdict?: Verdict; retryAfterMs?: Millis } = {},
): Problem {
  return {
    code,
    detail,
    verdict: options.verdict ?? "not_run",
    retryAfterMs: options.retryAfterMs,
  };
}

/** Returns the HTTP status of a problem. */
export function problemStatus(err: Problem): number {
  return REFUSALS[err.code].status;
}
