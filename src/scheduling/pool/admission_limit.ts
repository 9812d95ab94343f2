import type { Millis } from "../../core/time.ts";
import { firstEventTimeoutMs } from "./caller_timeout.ts";
import { type EnginePace, passMs, prefillMs } from "./engine_pace.ts";
import type { PlacementRequest } from "./pool_job.ts";

/** Waits, in times of an idle engine, that are always accepted where a target leaves hardly room for any. */
const IDLE_FACTOR = 2;

/**
 * The longest predicted time to the first event with which a short prompt is taken.
 * Load pattern: a crest of short prompts beyond what the engines can serve. If all are taken, all stand in line and
 * all are late, and those whose callers time out were read for nothing; if those that would be late are refused
 * at once, the others are served in time and the line stays short for those that retry. A prompt that has failed
 * elsewhere has waited already, and is taken as long as its caller waits.
 */
export function admissionLimitMs(
  ask: PlacementRequest,
  pace: EnginePace,
): Millis {
  const timeoutMs = firstEventTimeoutMs(ask);
  if (ask.avoid.length > 0) return timeoutMs;
  const idleMs = prefillMs(pace, ask.promptTokens) +
    passMs(pace, 1, ask.promptTokens);
  return Math.min(timeoutMs, Math.max(ask.targetMs, IDLE_FACTOR * idleMs));
}
