import type { Branded } from "./brand.ts";

/** Milliseconds since the Unix epoch, by the injected clock. */
export type Timestamp = Branded<number, "Timestamp">;
/** A length of time in milliseconds. */
export type Millis = number;

export const SECOND_MS: Millis = 1_000;
export const MINUTE_MS: Millis = 60 * SECOND_MS;
export const HOUR_MS: Millis = 60 * MINUTE_MS;

/** Longest time that a timer of Node.js waits; it fires at once for a longer one. */
export const MAX_TIMER_MS: Millis = 2 ** 31 - 1;

/** The time that a timer waits for `ms`: at least 0, and at most what a timer can wait. */
export function timerMs(ms: Millis): Millis {
  return Math.min(MAX_TIMER_MS, Math.max(0, ms));
}

/** Returns the time `ms` after `time`. */
export function addMs(time: Timestamp, ms: Millis): Timestamp {
  return (time + ms) as Timestamp;
}

/** Returns the earlier of two times, of which either may be missing. */
export function earliest(
  a: Timestamp | undefined,
  b: Timestamp | undefined,
): Timestamp | undefined {
  if (a === undefined) return b;
  if (b === undefined) return a;
  return a < b ? a : b;
}
