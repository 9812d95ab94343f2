import type { RequestId } from "../core/id.ts";
import type { Problem } from "../core/problem.ts";
import type { Placement } from "../core/request.ts";
import type { Job } from "../scheduling/job.ts";

/** Result of one placement round. */
export type PlacementOutcome =
  | Readonly<{ type: "granted"; round: number; placement: Placement }>
  | Readonly<{ type: "refused"; round: number; problem: Problem }>;

/** Placements of the requests of this daemon; written by `PlacementController`. */
export type PlacementSection = {
  placed: Map<RequestId, PlacementOutcome>;
  /** Number of prompts in this daemon's placement queue, its own and those of other daemons. */
  queued: number;
  /** Prompts that this daemon has placed, its own and those of other daemons. */
  jobs: ReadonlyMap<RequestId, Job>;
};

/** State at start. */
export function createPlacementSection(): PlacementSection {
  return { placed: new Map(), queued: 0, jobs: new Map() };
}
