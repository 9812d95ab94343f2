import type { RequestEntry } from "../board/requests_section.ts";
import type { AttemptId, RecordId } from "../core/id.ts";
import type { CallRequest, Outcome } from "../core/request.ts";
import type { Timestamp } from "../core/time.ts";
import type { ParsedKey } from "./idempotency_key.ts";
import type { CallAnswer } from "./issued_calls.ts";

/** Longest answer that is recorded, in characters. */
const MAX_RECORDED_CHARS = 16_384;

/** A call on its way from its claim to its recorded outcome. */
export type TrackedCall = {
  readonly entry: RequestEntry;
  readonly req: CallRequest;
  readonly key: ParsedKey;
  /** The claim that was appended; a key issued here needs none. */
  readonly claim: RecordId | undefined;
  readonly startedAt: Timestamp;
  /** Whether the call may be sent. */
  held: boolean;
  /** Attempts that ended without having run. */
  readonly notRun: Set<AttemptId>;
  outcome?: CallAnswer;
  /** When the request ended. */
  requestEndedAt?: Timestamp;
};

/** What is known about a call whose request has ended. */
export type CallEnd = "ran" | "not_sent" | "unknown";

/** Notes how one attempt ended. */
export function recordAttemptEnd(
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

/** Says how a call has ended; only attempts that are all known not to have run count as not sent. */
export function callEnd(call: TrackedCall): CallEnd {
  if (call.outcome !== undefined) return "ran";
  return call.notRun.size === call.entry.attempts ? "not_sent" : "unknown";
}
