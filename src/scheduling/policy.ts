import type { Millis } from "../core/time.ts";

/** Settings of the placement policy; `limits` of the configuration holds their ranges and defaults. */
export type Policy = Readonly<{
  /** Prompts with more uncached tokens than this are long. */
  longPromptTokens: number;
  /** Prompts with more tokens than this often share long prefixes and go where those are cached. */
  mediumPromptTokens: number;
  /** Time by which an engine of the other kind counts as slower: with or without such prefixes. */
  apartMs: Millis;
  /** Engines that are kept free of long prompts at the least. */
  shortEngines: number;
  /** Part of an engine's time that short prompts may take before another engine is kept for them. */
  shortUtilization: number;
  /** Tokens of each engine's memory that long prompts leave free. */
  shortMemoryTokens: number;
  /** Time to the first token that most prompts should keep. */
  firstTokenTargetMs: Millis;
  /** First-token time below which a faster place is worth nothing. */
  firstTokenKneeMs: Millis;
  /** Time by which a place beside a long prefill counts as slower where that has doubled each step. */
  spillMs: Millis;
  /** Part by which long prefill may lengthen steps before other answers are decoded elsewhere. */
  splitSlowness: number;
  /** Time that it takes to hand a prompt on to the engine that decodes. */
  splitMs: Millis;
  /** Wait for the running step of a long prefill, for each time that it has grown by a half. */
  longStepMs: Millis;
  /** Time by which an engine beside the short pool counts as slower, so that small prompts leave the pool only when it fills. */
  spareMs: Millis;
  /** Weight of the prompts ahead, beside their part of the first-token time. */
  backlogWeight: number;
  /** Time by which each stream makes an engine count as slower. */
  streamMs: Millis;
  /** Weight of prefill time against waiting time when an engine is chosen. */
  prefillWeight: number;
  /** Prompts that one engine is given at a time. */
  engineRequests: number;
  /** Long prompts that wait at the scheduling daemon. */
  queuedPrompts: number;
  /** Segments of one plan. */
  planSegments: number;
  /** Cost of prefill over segments on other engines, against one engine. */
  planCostFactor: number;
  /** Part of the time to its deadline that a long prompt may be predicted to need. */
  admissionRatio: number;
  /** Part of the engines' memory that long prompts can be expected to fill. */
  packingRatio: number;
  /** Time before its latest start at which a waiting prompt is no longer overtaken. */
  overtakeMs: Millis;
}>;

/** The defaults; docs/MEASUREMENTS.md shows the runs behind them. */
export const DEFAULT_POLICY: Policy = {
  longPromptTokens: 24_000,
  mediumPromptTokens: 4_096,
  apartMs: 400,
  shortEngines: 2,
  shortUtilization: 0.6,
  shortMemoryTokens: 30_000,
  firstTokenTargetMs: 340,
  firstTokenKneeMs: 280,
  spillMs: 300,
  splitSlowness: 0.15,
  splitMs: 60,
  longStepMs: 20,
  spareMs: 30,
  backlogWeight: 0.5,
  streamMs: 1,
  prefillWeight: 0.5,
  engineRequests: 56,
  queuedPrompts: 512,
  planSegments: 4,
  planCostFactor: 1.3,
  admissionRatio: 0.8,
  packingRatio: 0.8,
  overtakeMs: 60_000,
};
