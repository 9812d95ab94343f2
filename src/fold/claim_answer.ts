import type { ClaimResult } from "../board/claims_section.ts";
import type { Digest } from "../core/id.ts";
import { type Problem, problem } from "../core/problem.ts";
import { SECOND_MS, type Timestamp } from "../core/time.ts";
import type { CallAnswer } from "./issued_calls.ts";

const PENDING_RETRY_MS = SECOND_MS;

/** What is known about the one call that a key stands for. */
export type KnownCall = Readonly<{
  digest: Digest;
  deadlineAt: Timestamp;
  outcome?: CallAnswer;
}>;

/** Wraps a problem as the result of a claim. */
export function refused(err: Problem): ClaimResult {
  return { type: "refused", problem: err };
}

/** Answers a request whose key already stands for a call. */
export function answerFromKnownCall(
  call: KnownCall,
  digest: Digest,
  options: { now: Timestamp; clockSkewMs: number },
): ClaimResult {
  if (call.digest !== digest) {
    return refused(
      problem("key_reused", "This key stands for a call with another body."),
    );
  }
  if (call.outcome !== undefined) return answerFromOutcome(call.outcome);
  if (options.now <= call.deadlineAt + options.clockSkewMs) {
    return refused(
      problem("claim_pending", "A try of this key may be running.", {
        verdict: "may_have_run",
        retryAfterMs: PENDING_RETRY_MS,
      }),
    );
  }
  return refused(
    problem("already_tried", "How the try of this key ended is not known.", {
      verdict: "may_have_run",
    }),
  );
}

function answerFromOutcome(outcome: CallAnswer): ClaimResult {
  const { status, answer } = outcome;
  if (answer !== undefined) return { type: "recorded", status, ...answer };
  return refused(
    problem(
      "already_tried",
      `The call ran with status ${status}; its answer was not kept.`,
      { verdict: "ran" },
    ),
  );
}
