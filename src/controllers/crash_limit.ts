import type { Blackboard } from "../board/blackboard.ts";
import type { Digest } from "../core/id.ts";

/** Number of crashed upstreams at which content is quarantined. */
export const CRASHES_TO_QUARANTINE = 2;

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
