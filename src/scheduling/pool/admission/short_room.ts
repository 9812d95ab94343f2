import type { Millis } from "../../../core/time.ts";
import type { Candidate, PromptInput } from "../candidate.ts";
import { passMs, prefillMs } from "../engine_pace.ts";
import { PLANNED_MEMORY_FRACTION } from "../plan_memory.ts";
import { nextPass, predictPass } from "./engine_passes.ts";

/** The room that an engine lacks for a prompt. */
export type ShortRoom = "prefill" | "decode" | "memory";

/** What a short prompt would meet on an engine. */
export type ShortFit = Readonly<{
  firstMs: Millis;
  /** Streams beside it that would pause too long. */
  lateStreams: number;
  /** The room that is short; undefined if the prompt and all streams stay in time. */
  lacks: ShortRoom | undefined;
}>;

/** Predicted wait for each prompt beyond the slots: about the time until a stream of a full batch ends. */
const SLOT_WAIT_MS: Millis = 150;

/** Error margin of pauses, which don't depend on when the current pass ends. */
const PAUSE_MARGIN_MS: Millis = 15;

/**
 * Whether a prompt and the streams that an engine decodes stay in time with each other.
 * Load pattern: a crest of short prompts. An engine's slots, its memory and the pauses that its streams accept are used
 * up well before the first event of a new prompt would be late.
 */
export function shortFit(
  input: PromptInput,
  engine: Candidate,
  options: Readonly<{ limitMs: Millis; marginMs: Millis }>,
): ShortFit {
  const { ask, pace, now } = input;
  const { load } = engine;
  const { limitMs, marginMs } = options;
  const slowdown = load.slowdownAt(now);
  const next = nextPass(load, pace, now);
  const predicted = predictPass(next, pace, {
    prefillMs: prefillMs(pace, ask.promptTokens),
    slowdown,
  });
  const tokens = ask.promptTokens + ask.answerTokens;
  const decodeMs = slowdown *
    passMs(pace, next.streams + 1, next.contextTokens + tokens);
  let ownJobs = 0;
  let lateStreams = 0;
  for (const job of load.jobs.values()) {
    if (job.upstream !== engine.id) continue;
    ownJobs += 1;
    if (predicted.pauseMs + PAUSE_MARGIN_MS > job.pauseMs) lateStreams += 1;
  }
  const excess = Math.max(0, ownJobs + 1 - engine.slots);
  const firstMs = predicted.firstMs + excess * SLOT_WAIT_MS * slowdown;
  const limitTokens = pace.memoryTokens * PLANNED_MEMORY_FRACTION;
  let lacks: ShortRoom | undefined;
  if (load.memoryTokens + tokens > limitTokens) lacks = "memory";
  else if (excess > 0 || decodeMs + PAUSE_MARGIN_MS > ask.pauseMs) {
    lacks = "decode";
  } else if (lateStreams > 0) lacks = "decode";
  else if (firstMs + marginMs > limitMs) lacks = "prefill";
  return { firstMs, lateStreams, lacks };
}
