import { z } from "zod";

const tokens = z.number().int().min(1);
const milliseconds = z.number().int().min(0).max(600_000);

/** Keys of the section `[limits]` that set the placement of prompts; docs/MEASUREMENTS.md has the measurements behind the defaults. */
export const PlacementLimitsSchema = z.object({
  longPromptTokens: tokens.max(1_000_000).default(24_000)
    .describe("Prompts with more uncached tokens than this are long."),
  mediumPromptTokens: tokens.max(1_000_000).default(4_096)
    .describe(
      "Prompts with more tokens than this often share long prefixes; they go where those are cached.",
    ),
  shortEngines: z.number().int().min(0).max(1_024).default(2)
    .describe(
      "Engines of a cell that are kept for prompts with long shared prefixes.",
    ),
  shortUtilization: z.number().min(0.05).max(2).default(0.6)
    .describe(
      "Part of an engine's time that short prompts may take before one more engine is kept for them.",
    ),
  shortMemoryTokens: z.number().int().min(0).max(10_000_000).default(30_000)
    .describe("Tokens of each engine's memory that long prompts leave free."),
  firstTokenTargetMs: milliseconds.default(340)
    .describe(
      "Time to the first token that most prompts should keep, in milliseconds; prompts that can't let others go first.",
    ),
  firstTokenKneeMs: milliseconds.default(280)
    .describe(
      "Time to the first token, in milliseconds, below which a faster place is worth nothing.",
    ),
  apartMs: milliseconds.default(400)
    .describe(
      "Time by which an engine kept for the other kind of short prompts counts as slower, in milliseconds.",
    ),
  spillMs: milliseconds.default(300)
    .describe(
      "Time by which a place beside long prefill counts as slower, in milliseconds, where that has doubled each step and no other engine can decode.",
    ),
  splitSlowness: z.number().min(0).max(10).default(0.15)
    .describe(
      "Part by which long prefill may lengthen steps before answers are decoded elsewhere.",
    ),
  splitMs: milliseconds.default(60)
    .describe(
      "Time to hand a prompt on to the engine that decodes, in milliseconds.",
    ),
  longStepMs: milliseconds.default(20)
    .describe(
      "Wait for a running step of long prefill, in milliseconds, for each time by which it has grown.",
    ),
  spareMs: milliseconds.default(30)
    .describe(
      "Time by which an engine beside those for short prompts counts as slower, in milliseconds.",
    ),
  backlogWeight: z.number().min(0).max(10).default(0.5)
    .describe("Weight of the prefill time ahead when an engine is chosen."),
  streamMs: z.number().min(0).max(1_000).default(1)
    .describe(
      "Time by which each stream makes an engine count as slower, in milliseconds.",
    ),
  prefillWeight: z.number().min(0).max(10).default(0.5)
    .describe(
      "Weight of a prompt's own prefill time when an engine is chosen.",
    ),
  engineRequests: z.number().int().min(1).max(10_000).default(56)
    .describe("Streams that one engine is given at a time."),
  queuedPrompts: z.number().int().min(0).max(100_000).default(512)
    .describe("Long prompts that wait at the daemon that places them."),
  planSegments: z.number().int().min(1).max(64).default(4)
    .describe(
      "Engines that one prompt is spread over, the decoding one aside.",
    ),
  planCostFactor: z.number().min(1).max(10).default(1.3)
    .describe(
      "Predicted cost of prefill over segments on other engines, against one engine.",
    ),
  admissionRatio: z.number().min(0.05).max(1).default(0.8)
    .describe(
      "Part of the time to its deadline that a long prompt may be predicted to need.",
    ),
  packingRatio: z.number().min(0.05).max(1).default(0.8)
    .describe(
      "Part of the engines' memory that long prompts are expected to fill.",
    ),
  overtakeMs: milliseconds.default(240_000)
    .describe(
      "Time before its latest start, in milliseconds, from which on a waiting prompt is not overtaken.",
    ),
});
/** Limits that set the placement of prompts. */
export type PlacementLimits = z.infer<typeof PlacementLimitsSchema>;
