import type { RequestEntry } from "../board/requests_section.ts";
import type { AttemptId, RecordId } from "../core/id.ts";
import type { CallRequest, Outcome } from "../core/request.ts";
import type { Timestamp } from "../core/time.ts";
import type { ParsedKey } from "./idempotency_key.ts";
import type { CallAnswer } from "./issued_calls.ts";

/** Longest answer that is recorded, in UTF-16 code units. */
const MAX_RECORDED_CHARS = 16_384;

/** A call between its claim and its recorded outcome. */
export type TrackedCall = {
  readonly entry: RequestEntry;
  readonly req: CallRequest;
  readonly key: ParsedKey;
  /** The appended claim; absent for a key issued by this daemon, which needs none. */
  readonly claim: RecordId | undefined;
  readonly startedAt: Timestamp;
  /** Whether this daemon holds the key, so that the call may be sent. */
  held: boolean;
  /** Attempts that ended with verdict `not_run`. */
  readonly notRun: Set<AttemptId>;
  outcome?: CallAnswer;
  /** When the request ended. */
  requestEndedAt?: Timestamp;
};

/** How far a call got, as known when its request ends. */
export type CallEnd = "ran" | "not_sent" | "unknown";

/** Records the outcome of one attempt. */
export function recordOutcome(
  call: TrackedCall,
  attempt: AttemptId,
  outcome: Outcome,
): void {
  if (outcome.type === "failed") {
    if (outcome.verdict === "not_run") call.notRun.add(attempt);
    return;
  }
  const { status, answer } = outcome;
  const fits = answer !== undefined && answer.body.length <= MAX_RECORDED_CHARS;
  call.outcome = fits ? { status, answer } : { status };
}

/** Returns how far a call got: `not_sent` only if all its attempts have verdict `not_run`. */
export function callEnd(call: TrackedCall): CallEnd {
  if (call.outcome !== undefined) return "ran";
  return call.notRun.size === call.entry.attempts ? "not_sent" : "unknown";
}
