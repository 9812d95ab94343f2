import type { Millis } from "../../core/time.ts";
import { expectedSavingMs } from "../held/held_saving.ts";
import { keyedParts } from "../held/leading_parts.ts";
import type { Candidate, PromptInput } from "./candidate.ts";
import { prefillMs } from "./engine_pace.ts";

/** Prefill time that an engine is expected to save on a prompt; 0 where engines hold nothing beyond a request. */
export function savedPrefillMs(
  input: PromptInput,
  engine: Candidate,
): Millis {
  const { ask, pace, now } = input;
  const { heldMs } = pace;
  if (heldMs === undefined || ask.leadingParts === undefined) return 0;
  const { held, memoryTokens, ownJobs } = engine.load;
  // A prompt that waits for a slot may find the beginning evicted.
  if (held.size === 0 || ownJobs >= engine.slots) return 0;
  const needTokens = ask.promptTokens + ask.answerTokens;
  const freeTokens = pace.memoryTokens - memoryTokens - needTokens;
  if (freeTokens < 0) return 0;
  const believed = held.leading(keyedParts(ask.leadingParts), {
    now,
    heldMs,
    freeTokens,
  });
  return expectedSavingMs(
    believed,
    ask.promptTokens,
    (tokens) => prefillMs(pace, tokens),
  );
}
