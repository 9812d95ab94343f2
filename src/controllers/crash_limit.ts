import type { Blackboard } from "../board/blackboard.ts";
import type { Digest } from "../core/id.ts";

/** Upstreams that content may crash before it is refused. */
export const CRASHES_TO_QUARANTINE = 2;

/** Whether content may yet have crashed as many engines as it may: known crashes, and silent engines that have it. */
export function mayHaveReachedCrashLimit(
  board: Blackboard,
  digest: Digest,
): boolean {
  const { suspects, silences } = board.quarantine;
  const crashes = suspects.get(digest)?.crashes.length ?? 0;
  const silent = silences.get(digest)?.length ?? 0;
  return silent > 0 && crashes + silent >= CRASHES_TO_QUARANTINE;
}
