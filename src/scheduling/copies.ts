import type { UpstreamId } from "../core/id.ts";
import type { CellPlacementRequest } from "./cell_placement.ts";
import type { EngineView } from "./engine_view.ts";
import type { Job } from "./job.ts";

/** Engines on which prompts of equal content may run at a time; bounds how many of them one content can crash. */
const MAX_COPY_ENGINES = 2;

/**
 * Returns the engines that may run one more prompt of the same content, so that it can't crash more than
 * `MAX_COPY_ENGINES`. Content that is suspected of a crash runs once at a time.
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
