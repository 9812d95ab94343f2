import type { Millis } from "../../core/time.ts";

/** What an upstream says of itself beside any answer. */
export type UpstreamSigns = Readonly<{
  /** Whether it is about to end, and takes no new work. */
  leaving: boolean;
  /** For how long it wants nothing more from this daemon; absent where it does not say. */
  backoffMs?: Millis;
}>;

/** Whether an answer says anything of its upstream. */
export function hasSigns(signs: UpstreamSigns): boolean {
  return signs.leaving || signs.backoffMs !== undefined;
}
