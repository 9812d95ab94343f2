import type { ClaimResult } from "../board/claims_section.ts";
import type { Digest } from "../core/id.ts";
import { type Problem, problem } from "../core/problem.ts";
import { SECOND_MS, type Timestamp } from "../core/time.ts";
import type { CallAnswer } from "./issued_calls.ts";

const PENDING_RETRY_MS = SECOND_MS;

/** State of the call that belongs to an idempotency key. */
export type KnownCall = Readonly<{
  digest: Digest;
  deadlineAt: Timestamp;
  outcome?: CallAnswer;
}>;

/** Returns a problem as the result of a claim. */
export function refused(err: Problem): ClaimResult {
  return { type: "refused", problem: err };
}

/** Answers a request whose key already belongs to a call. */
export function answerFromKnownCall(
  call: KnownCall,
  digest: Digest,
  options: { now: Timestamp; clockSkewMs: number },
): ClaimResult {
  if (call.digest !== digest) {
    return refused(
      problem("key_reused", "This key was used for a call with another body."),
    );
  }
  if (call.outcome !== undefined) return answerFromOutcome(call.outcome);
  if (options.now <= call.deadlineAt + options.clockSkewMs) {
    return refused(
      problem("claim_pending", "A call with this key may be running.", {
        verdict: "may_have_run",
        retryAfterMs: PENDING_RETRY_MS,
      }),
    );
  }
  return refused(
    problem(
      "already_tried",
      "The outcome of the call with this key is unknown.",
      {
        verdict: "may_have_run",
      },
    ),
  );
}

function answerFromOutcome(outcome: CallAnswer): ClaimResult {
  const { status, answer } = outcome;
  if (answer !== undefined) return { type: "recorded", status, ...answer };
  return refused(
    problem(
      "already_tried",
      `The call ran with status ${status}; its answer was not stored.`,
      { verdict: "ran" },
    ),
  );
}
