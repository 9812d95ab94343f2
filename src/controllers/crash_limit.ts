import type { Blackboard } from "../board/blackboard.ts";
import type { Digest } from "../core/id.ts";
import {
  HOUR_MS,
  type Millis,
  MINUTE_MS,
  type Timestamp,
} from "../core/time.ts";

/** Number of crashed upstreams at which content is quarantined. */
export const CRASHES_TO_QUARANTINE = 2;

/** Time over which content is refused after the crash that quarantined it. */
export const QUARANTINE_MS: Millis = HOUR_MS;
const SUSPECT_RETENTION_MS: Millis = 10 * MINUTE_MS;

/** Time for which content is remembered after its last crash. */
export function suspectRetentionMs(crashes: number): Millis {
  return crashes < CRASHES_TO_QUARANTINE ? SUSPECT_RETENTION_MS : QUARANTINE_MS;
}

/** Clears an answered content: it did not cause its crashes. */
export function clearContent(
  board: Blackboard,
  digest: Digest,
  now: Timestamp,
): void {
  const { answered, suspects, quarantined } = board.quarantine;
  answered.record(digest, now);
  suspects.delete(digest);
  quarantined.delete(digest);
}

/** Whether content reaches `CRASHES_TO_QUARANTINE` if the engines that fell silent while running it have crashed. */
export function mayHaveReachedCrashLimit(
  board: Blackboard,
  digest: Digest,
): boolean {
  const { suspects, silentRuns } = board.quarantine;
  const crashes = suspects.get(digest)?.crashes.length ?? 0;
  const silent = silentRuns.get(digest)?.length ?? 0;
  return silent > 0 && crashes + silent >= CRASHES_TO_QUARANTINE;
}
