import { z } from "zod";
import type { Millis } from "../../core/time.ts";
import type { AttemptFailure } from "../requests/retry_policy.ts";

/** How an upstream fared with some content, as the daemon saw it that sent the request. */
export const ContentReportSchema = z.object({
  /** Tells the content by its caller, its path and its bytes. */
  digest: z.string(),
  outcome: z.enum([
    /** The connection broke while the upstream may have been at work on it. */
    "disconnected",
    /** The upstream was given up as it said nothing. */
    "silent",
    /** The upstream said that it had not run it. */
    "not_run",
    /** The upstream ran it with success. */
    "answered",
  ]),
}).readonly();
/** How an upstream fared with some content, as the daemon saw it that sent the request. */
export type ContentReport = z.infer<typeof ContentReportSchema>;

/** What a failed attempt says of its content; nothing where the upstream lives and has answered. */
export function outcomeOfFailure(
  failure: AttemptFailure,
): ContentReport["outcome"] | undefined {
  if (failure.verdict === "not_run") return "not_run";
  if (failure.disconnected === true || failure.cause === "upstream_crashed") {
    return "disconnected";
  }
  return failure.cause === "upstream_silent" ? "silent" : undefined;
}

/** What an attempt that its client or its deadline ended says: a silent upstream may have crashed. */
export function outcomeOfGivingUp(
  silentMs: Millis,
  route: Readonly<{ targetMs: Millis }>,
): ContentReport["outcome"] | undefined {
  return silentMs >= route.targetMs ? "silent" : undefined;
}
