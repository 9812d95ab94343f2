import type { Millis } from "../../core/time.ts";
import { type EnginePace, passMs, prefillMs } from "./engine_pace.ts";
import type { PlacementRequest } from "./pool_job.ts";

/** Tokens that count for each caller besides its prompt, so that short prompts weigh more than their size. */
const CALLER_TOKENS = 5_000;
/** Worth of a request relative to one that is a rank less urgent. */
const RANK_FACTOR = 2;

/** What a placement request takes of the engines. */
export type EngineNeed = Pick<
  PlacementRequest,
  "promptTokens" | "answerTokens"
>;

/** Fraction of one engine that a stream holds while it decodes: a slot, or its memory if that is more. */
export function heldFraction(need: EngineNeed, pace: EnginePace): number {
  const tokens = need.promptTokens + need.answerTokens;
  return Math.max(1 / pace.slots, tokens / pace.memoryTokens);
}

/**
 * Engine time of a request: its prefill, and the fraction of its decode passes that it holds on a full engine. No answer
 * is longer than what an engine holds, whatever the caller states.
 */
export function engineMs(need: EngineNeed, pace: EnginePace): Millis {
  const { promptTokens } = need;
  const answerTokens = Math.min(need.answerTokens, pace.memoryTokens);
  const tokens = promptTokens + answerTokens;
  const held = heldFraction({ promptTokens, answerTokens }, pace);
  const streams = Math.max(1, 1 / held);
  const passes = Math.ceil(answerTokens / pace.stride);
  return prefillMs(pace, promptTokens) +
    passes * held * passMs(pace, streams, streams * tokens);
}

/** Weight of a rank, relative to rank 0. */
export function rankWeight(rank: number): number {
  return RANK_FACTOR ** -rank;
}

/**
 * What one ms of engine time brings callers: the request's tokens and a base for its caller, by its rank.
 * Load pattern: more work of all kinds than engines, where short and long prompts compete for the same time.
 */
export function worthPerMs(
  ask: Pick<PlacementRequest, "promptTokens" | "rank">,
  engineMs: Millis,
): number {
  const worth = (CALLER_TOKENS + ask.promptTokens) * rankWeight(ask.rank);
  return worth / Math.max(1, engineMs);
}
