import type { Millis } from "../../core/time.ts";

/** What one kind of engine takes for its work, as the configuration states it. */
export type EnginePace = Readonly<{
  /** Prompts that are in the batch at a time. */
  slots: number;
  /** KV memory in tokens. */
  memoryTokens: number;
  /** Steps of a pass in which answers are written. */
  stride: number;
  /** Prompt tokens that one step prefills at most. */
  chunkTokens: number;
  stepMs: Millis;
  /** Cost of each writing stream in each step. */
  streamMs: Millis;
  /** Cost of each 1,000 tokens of context of the writing streams in each step. */
  contextMs: Millis;
  prefillTokensPerMs: number;
  /** Cost of each million pairs of a token and an earlier one. */
  pairsMs: Millis;
}>;

/** Prefill time of a prompt on an engine that reads nothing else; attention makes it grow with the square. */
export function prefillMs(pace: EnginePace, tokens: number): Millis {
  const pairs = tokens * tokens / 2 / 1e6;
  return tokens / pace.prefillTokensPerMs + pairs * pace.pairsMs;
}

/** Time of one pass that writes for `streams` streams with `contextTokens` tokens of context in all. */
export function passMs(
  pace: EnginePace,
  streams: number,
  contextTokens: number,
): Millis {
  const step = pace.stepMs + streams * pace.streamMs +
    contextTokens / 1_000 * pace.contextMs;
  return pace.stride * step;
}
