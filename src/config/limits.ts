import { z } from "zod";
import { PlacementLimitsSchema } from "./placement_limits.ts";

/** Keys of the section `[limits]`. */
export const LimitKeysSchema = z.object({
  maxRequests: z.number().int().min(1).max(100_000).default(4_096)
    .describe("Requests that one daemon holds at a time."),
  maxPromptBytes: z.number().int().min(1_024).max(64 * 1_048_576)
    .default(8 * 1_048_576)
    .describe("Largest prompt body, in bytes."),
  maxCallBytes: z.number().int().min(1_024).max(4 * 1_048_576)
    .default(1_048_576)
    .describe("Largest body of a call of a plain service, in bytes."),
  retryRatio: z.number().min(0).max(1).default(0.1)
    .describe("Retries allowed for each request that ended well lately."),
  maxAttempts: z.number().int().min(1).max(10).default(3)
    .describe("Attempts of one request, the first included."),
  configFreshnessMs: z.number().int().min(1_000).max(3_600_000).default(60_000)
    .describe(
      "Age at which a configuration that neither log nor peers have confirmed stops admission, in milliseconds.",
    ),
  keyWindowMs: z.number().int().min(60_000).max(604_800_000).default(3_600_000)
    .describe(
      "Age at which an idempotency key is refused, in milliseconds; must be well below the log's retention.",
    ),
  clockSkewMs: z.number().int().min(0).max(600_000).default(5_000)
    .describe(
      "Largest difference between two clocks of the fleet, in milliseconds; below half of key_window_ms.",
    ),
  upstreamSilenceMs: z.number().int().min(100).max(600_000).default(10_000)
    .describe(
      "Time after which an upstream that sends nothing counts as silent, in milliseconds.",
    ),
  entryMaxAgeMs: z.number().int().min(100).max(600_000).default(10_000)
    .describe("Time that clients may keep an entry answer, in milliseconds."),
  ...PlacementLimitsSchema.shape,
});

/** Limits that operators may set; each has a range and a default value. */
export const LimitsSchema = LimitKeysSchema.prefault({});
/** Limits that operators may set. */
export type Limits = z.infer<typeof LimitsSchema>;
