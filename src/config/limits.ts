import { z } from "zod";

/** Limits that operators may set; each has a range and a default. */
export const LimitsSchema = z.object({
  /** Requests that one daemon holds at a time. */
  maxRequests: z.number().int().min(1).max(100_000).default(4_096),
  /** Largest prompt body, in bytes. */
  maxPromptBytes: z.number().int().min(1_024).max(64 * 1_048_576).default(
    8 * 1_048_576,
  ),
  /** Largest body of a call of a plain service, in bytes. */
  maxCallBytes: z.number().int().min(1_024).max(4 * 1_048_576).default(
    1_048_576,
  ),
  /** Retries allowed for each request that ended well lately. */
  retryRatio: z.number().min(0).max(1).default(0.1),
  /** Attempts of one request, the first included. */
  maxAttempts: z.number().int().min(1).max(10).default(3),
  /** Age at which a configuration without news from log or peers stops admission. */
  configFreshnessMs: z.number().int().min(1_000).max(3_600_000).default(60_000),
  /** Age at which an idempotency key is refused; must be well below the log's retention. */
  keyWindowMs: z.number().int().min(60_000).max(604_800_000).default(3_600_000),
  /** Largest difference between two clocks of the fleet. */
  clockSkewMs: z.number().int().min(0).max(600_000).default(5_000),
  /** Time after which an upstream that sends nothing counts as silent. */
  upstreamSilenceMs: z.number().int().min(100).max(600_000).default(10_000),
  /** Time that entry answers may be kept by clients. */
  entryMaxAgeMs: z.number().int().min(100).max(600_000).default(10_000),
}).prefault({});
/** Limits that operators may set. */
export type Limits = z.infer<typeof LimitsSchema>;
