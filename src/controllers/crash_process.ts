import type { Blackboard } from "../board/blackboard.ts";
import { addMs, type Millis, type Timestamp } from "../core/time.ts";
import type { ContentRun } from "./content_run.ts";

/** An engine takes longer to start again, and a report of its crash less than that to arrive. */
const MIN_RESTART_MS: Millis = 100;

/**
 * Name of the process that crashed, as `upstream/incarnation`. An attempt that was sent after the crash of the known
 * incarnation ran on a later process, whose incarnation is not known yet; it is named by its number after that one.
 */
export function crashedProcess(board: Blackboard, crash: ContentRun): string {
  const { upstream, incarnation, sentAt } = crash;
  const known = `${upstream}/${incarnation}`;
  let process = known;
  if (sentAt === undefined) return process;
  for (let run = 1; hasCrashed(board, process, crash, sentAt); run += 1) {
    process = `${known}+${run}`;
  }
  return process;
}

/** Whether a crash is one of these, or was told by a daemon that did not know that the process was a later one. */
export function isKnownCrash(
  crashes: readonly string[],
  process: string,
  { sentAt }: ContentRun,
): boolean {
  return crashes.includes(process) ||
    (sentAt === undefined &&
      crashes.some((known) => known.startsWith(`${process}+`)));
}

function hasCrashed(
  board: Blackboard,
  process: string,
  { digest }: ContentRun,
  sentAt: Timestamp,
): boolean {
  const { aboard, suspects } = board.quarantine;
  const crashedAt = aboard.get(process)?.at;
  if (crashedAt !== undefined && sentAt > addMs(crashedAt, MIN_RESTART_MS)) {
    return true;
  }
  const suspect = suspects.get(digest);
  return suspect !== undefined && suspect.crashes.includes(process) &&
    sentAt > suspect.seenAt;
}
