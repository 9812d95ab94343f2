import type { UpstreamId } from "../core/id.ts";
import type { CellPlacementRequest } from "./cell_placement.ts";
import type { EngineView } from "./engine_view.ts";
import type { Job } from "./job.ts";

/** Engines on which copies of one content run at a time; as many as one content may crash. */
const MAX_COPY_ENGINES = 2;

/**
 * Leaves the engines that may run one more copy of a content, so that it can't crash a third one.
 * Content that has crashed one already runs in one copy at a time.
 */
export function enginesForCopy(
  ask: CellPlacementRequest,
  jobs: Iterable<Job>,
  engines: readonly EngineView[],
): readonly EngineView[] {
  const copyEngines = new Set<UpstreamId>();
  for (const job of jobs) {
    const isCopy = job.ask.digest === ask.digest &&
      job.ask.request !== ask.request;
    if (isCopy) { for (const part of job.parts) copyEngines.add(part.engine); }
  }
  if (ask.suspect && copyEngines.size > 0) return [];
  if (copyEngines.size < MAX_COPY_ENGINES) return engines;
  return engines.filter((engine) => copyEngines.has(engine.id));
}
