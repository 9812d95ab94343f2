import type { Millis } from "../../core/time.ts";

/** Timing and capacity of one kind of engine, from the configuration. */
export type EnginePace = Readonly<{
  /** Prompts in one batch. */
  slots: number;
  /** KV cache size in tokens. */
  memoryTokens: number;
  /** Decode steps per pass; each stream gets one event per pass. */
  stride: number;
  /** Largest number of prompt tokens that one step prefills. */
  chunkTokens: number;
  stepMs: Millis;
  /** Time that each decoding stream adds to a step. */
  streamMs: Millis;
  /** Time that each 1,000 context tokens of decoding streams add to a step. */
  contextMs: Millis;
  prefillTokensPerMs: number;
  /** Attention time for each million pairs of a token and an earlier token. */
  pairsMs: Millis;
  /** How long an engine holds the beginning of a prompt after its last use; absent if not beyond its request. */
  heldMs?: Millis;
}>;

/** Prefill time of a prompt on an otherwise idle engine; attention adds a quadratic term. */
export function prefillMs(pace: EnginePace, tokens: number): Millis {
  const pairs = tokens * tokens / 2 / 1e6;
  return tokens / pace.prefillTokensPerMs + pairs * pace.pairsMs;
}

/** Time of one pass that decodes `streams` streams with `contextTokens` context tokens in total. */
export function passMs(
  pace: EnginePace,
  streams: number,
  contextTokens: number,
): Millis {
  const step = pace.stepMs + streams * pace.streamMs +
    contextTokens / 1_000 * pace.contextMs;
  return pace.stride * step;
}
