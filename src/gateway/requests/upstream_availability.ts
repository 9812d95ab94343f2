import type { Millis } from "../../core/time.ts";

/** Availability that an upstream announces in the headers of any response. */
export type UpstreamAvailability = Readonly<{
  /** Whether it is shutting down, and accepts no new work. */
  leaving: boolean;
  /** How long this daemon must send it no new requests; absent if it doesn't state a time. */
  backoffMs?: Millis;
  /** Requests per second that it accepts from all daemons together; absent if it names none. */
  maxRate?: number | "unreadable";
  /** How long it stays cold; absent if it doesn't state a time. */
  coldMs?: Millis;
}>;

/** Whether the upstream announced that it is leaving, backing off, limited to a rate or cold. */
export function limitsTraffic(availability: UpstreamAvailability): boolean {
  return availability.leaving || availability.backoffMs !== undefined ||
    availability.maxRate !== undefined || availability.coldMs !== undefined;
}
