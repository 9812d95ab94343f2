import type { Blackboard } from "../board/blackboard.ts";
import type { SilentRun } from "../board/quarantine_section.ts";
import type { Incarnation } from "../core/id.ts";
import {
  addMs,
  type Millis,
  MINUTE_MS,
  SECOND_MS,
  type Timestamp,
} from "../core/time.ts";
import type { ContentRun } from "./content_run.ts";
import { evictOldest } from "../core/evict_oldest.ts";

/** Time over which an engine must respond again before its silence counts as harmless; a crash shows sooner. */
const RECOVERY_CONFIRM_MS: Millis = SECOND_MS;
const MAX_SILENT_RUNS = 1_024;
const SILENCE_RETENTION_MS: Millis = 10 * MINUTE_MS;

/** Records that an engine fell silent while it ran a content. */
export function recordSilence(
  board: Blackboard,
  run: ContentRun,
  options: Pick<SilentRun, "observedHere" | "silentSince">,
): void {
  const { silentRuns } = board.quarantine;
  const known = silentRuns.get(run.digest) ?? [];
  if (known.some((silentRun) => silentRun.upstream === run.upstream)) return;
  const silentRun = {
    upstream: run.upstream,
    incarnation: run.incarnation as Incarnation,
    blocks: run.blocks &&
      board.quarantine.blocks.unanswered(run.blocks, options.silentSince),
    ...options,
  };
  silentRuns.set(run.digest, [...known, silentRun]);
  evictOldest(silentRuns, MAX_SILENT_RUNS);
}

/**
 * Removes the silent runs whose outcome shows, and returns the crashes among them. A changed or missing incarnation
 * means that the silent engine has probably crashed; an engine that responds again under the same incarnation has not.
 */
export function takeSilentCrashes(board: Blackboard): readonly ContentRun[] {
  const { silentRuns } = board.quarantine;
  const crashes: ContentRun[] = [];
  for (const [digest, known] of silentRuns) {
    const unresolved: SilentRun[] = [];
    for (const silentRun of known) {
      const { upstream, incarnation, blocks } = silentRun;
      const current = board.upstreams.byId.get(upstream);
      if (current?.incarnation !== incarnation) {
        crashes.push({ digest, upstream, incarnation, blocks });
        continue;
      }
      const lastResponseAt = current.lastResponseAt ?? silentRun.silentSince;
      const hasResponded = lastResponseAt > silentRun.silentSince;
      const respondingSince = silentRun.respondingSince ??
        (hasResponded ? lastResponseAt : undefined);
      if (respondingSince === undefined) unresolved.push(silentRun);
      else if (lastResponseAt < addMs(respondingSince, RECOVERY_CONFIRM_MS)) {
        unresolved.push({ ...silentRun, respondingSince });
      }
    }
    if (unresolved.length === 0) silentRuns.delete(digest);
    else silentRuns.set(digest, unresolved);
  }
  return crashes;
}

/** Drops silences past their retention time. */
export function expireSilences(board: Blackboard, now: Timestamp): void {
  const { silentRuns } = board.quarantine;
  for (const [digest, runs] of silentRuns) {
    const kept = runs.filter(({ silentSince }) =>
      now - silentSince <= SILENCE_RETENTION_MS
    );
    if (kept.length === 0) silentRuns.delete(digest);
    else if (kept.length < runs.length) silentRuns.set(digest, kept);
  }
}
