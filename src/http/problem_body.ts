import { type Problem, problemStatus } from "../core/problem.ts";
import { REFUSALS } from "../core/reason.ts";
import { SECOND_MS } from "../core/time.ts";

/** Media type of all problem responses. */
export const PROBLEM_TYPE = "application/problem+json";

/** Builds the body of a problem (RFC 9457) with reason code and verdict. */
export function problemBody(
  err: Problem,
  extra: Readonly<Record<string, unknown>> = {},
): string {
  return JSON.stringify({
    type: `urn:parsleyfield:${err.code}`,
    title: REFUSALS[err.code].title,
    status: problemStatus(err),
    detail: err.detail,
    code: err.code,
    verdict: err.verdict,
    retry_after_ms: err.retryAfterMs,
    ...extra,
  });
}

/** Builds the headers of a problem; `Retry-After` is in whole seconds. */
export function problemHeaders(err: Problem): Record<string, string> {
  const headers: Record<string, string> = {
    "content-type": PROBLEM_TYPE,
    "x-verdict": err.verdict,
  };
  if (err.retryAfterMs !== undefined) {
    headers["retry-after"] = String(Math.ceil(err.retryAfterMs / SECOND_MS));
  }
  return headers;
}
