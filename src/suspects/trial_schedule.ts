import { type Millis, MINUTE_MS, SECOND_MS } from "../core/time.ts";
import { partOfKey } from "./suspect_key.ts";

/** Confirmed crashes after which a content is quarantined; the platform allows three. */
export const QUARANTINE_CRASHES = 2;
/** Crashes after which the platform allows only three more trials, of a content and of a part. */
const CONTENT_CRASH_LIMIT = 3;
const PART_CRASH_LIMIT = 5;
const MAX_TRIALS_OVER_LIMIT = 3;
/** Time until the first trial, doubled by each trial; a trial is needed since a broken link can look like a crash. */
const TRIAL_DELAY_MS: Millis = 5 * SECOND_MS;
/** Shortest time until a trial once the limit is reached, doubled by each further crash. */
const OVER_LIMIT_TRIAL_DELAY_MS: Millis = MINUTE_MS;
/** Retention of a quarantined content, which gets no trial within it once those after the third crash are used up. */
export const QUARANTINE_RETENTION_MS: Millis = 60 * MINUTE_MS;

/** Crashes of a key after which the platform counts the requests with it that reach upstreams. */
export function crashLimitOf(key: string): number {
  return partOfKey(key) === undefined ? CONTENT_CRASH_LIMIT : PART_CRASH_LIMIT;
}

/** Time from the last crash or trial to the next trial. */
export function trialDelayMs(
  { crashes, trials }: Readonly<{ crashes: number; trials: number }>,
  crashLimit: number,
): Millis {
  const backoffMs = TRIAL_DELAY_MS * 2 ** trials;
  if (crashes < crashLimit) return backoffMs;
  const overLimit = crashes - crashLimit;
  if (overLimit >= MAX_TRIALS_OVER_LIMIT) return QUARANTINE_RETENTION_MS;
  return Math.max(backoffMs, OVER_LIMIT_TRIAL_DELAY_MS * 2 ** overLimit);
}
