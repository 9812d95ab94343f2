import { type Refusal, REFUSALS } from "./reason.ts";
import type { Millis } from "./time.ts";
import type { Verdict } from "./verdict.ts";

/** The final answer of a request that was refused or has failed. */
export type Problem = Readonly<{
  code: Refusal;
  verdict: Verdict;
  detail: string;
  /** When another try may succeed; absent where none would. */
  retryAfterMs?: Millis;
}>;

/** Builds a problem; the verdict is `not_run` unless said otherwise. */
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
