import type { Millis } from "../../core/time.ts";

/** What an upstream says of itself beside any answer. */
export type UpstreamAvailability = Readonly<{
  /** Whether it is about to end, and takes no new work. */
  leaving: boolean;
  /** For how long it wants nothing more from this daemon; absent where it does not say. */
  backoffMs?: Millis;
}>;

/** Whether an answer says anything of its upstream. */
export function limitsTraffic(availability: UpstreamAvailability): boolean {
  return availability.leaving || availability.backoffMs !== undefined;
}
