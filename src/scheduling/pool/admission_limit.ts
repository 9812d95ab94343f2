import type { Millis } from "../../core/time.ts";
import { firstEventTimeoutMs } from "./caller_timeout.ts";
import { type EnginePace, passMs, prefillMs } from "./engine_pace.ts";
import type { PlacementRequest } from "./pool_job.ts";
import { type RoomTerms, USUAL_TERMS } from "./room_terms.ts";

/** Multiple of an idle engine's time that is always accepted, for targets that an idle engine hardly meets. */
const IDLE_FACTOR = 2;

/**
 * The longest predicted time to the first event with which a short prompt is admitted.
 * Load pattern: a burst of short prompts beyond the engines' capacity. If all are admitted, all are late, and prefill
 * is wasted on those whose callers time out. Refusing prompts that would be late serves the others in time and keeps
 * queues short for retries. A prompt that failed on another upstream has waited already, so it is admitted up to its
 * caller's time-out. So is one for whose caller room is booked: it is late already.
 */
export function admissionLimitMs(
  ask: PlacementRequest,
  pace: EnginePace,
  terms: RoomTerms = USUAL_TERMS,
): Millis {
  const timeoutMs = firstEventTimeoutMs(ask);
  if (ask.avoid.length > 0 || terms.isDue) return timeoutMs;
  const idleMs = prefillMs(pace, ask.promptTokens) +
    passMs(pace, 1, ask.promptTokens);
  return Math.min(timeoutMs, Math.max(ask.targetMs, IDLE_FACTOR * idleMs));
}
