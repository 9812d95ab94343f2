import { z } from "zod";
import type { PromptPartId } from "../../core/id.ts";
import type { Millis } from "../../core/time.ts";
import { millisSchema } from "../../wire/bounds.ts";
import { idSchema } from "../../wire/brands.ts";
import type { AttemptFailure } from "../requests/retry_policy.ts";

/** Outcome of one attempt with a request content, as seen by the daemon that sent the request. */
export const ContentReportSchema = z.object({
  /** Digest of the caller, the path and the body. */
  digest: z.string(),
  /** Parts of the prompt that other requests may share; absent in reports of earlier builds. */
  sharedParts: z.array(idSchema<PromptPartId>()).readonly().optional(),
  /** Time since the request was sent to the upstream. */
  ranMs: millisSchema.optional(),
  /** Time since the first data of the response; absent before it. */
  answeringMs: millisSchema.optional(),
  outcome: z.enum([
    /** The connection broke while the upstream may have been running the request. */
    "disconnected",
    /** The upstream sent nothing up to its silence limit, or for long before the attempt was ended. */
    "silent",
    /** The upstream answered that it had not run the request. */
    "not_run",
    /** The upstream ran the request successfully. */
    "answered",
  ]),
}).readonly();
/** Outcome of one attempt with a request content, as seen by the daemon that sent the request. */
export type ContentReport = z.infer<typeof ContentReportSchema>;

/** Outcome of a failed attempt; undefined where the upstream answered, as it did not crash then. */
export function outcomeOfFailure(
  failure: AttemptFailure,
): ContentReport["outcome"] | undefined {
  if (failure.verdict === "not_run") return "not_run";
  if (failure.disconnected === true || failure.cause === "upstream_crashed") {
    return "disconnected";
  }
  return undefined;
}

/** Outcome of an attempt that its client or its deadline ended; an upstream silent for `targetMs` may have crashed. */
export function outcomeOfCancellation(
  silentMs: Millis,
  route: Readonly<{ targetMs: Millis }>,
): ContentReport["outcome"] | undefined {
  return silentMs >= route.targetMs ? "silent" : undefined;
}
