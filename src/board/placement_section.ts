import type { RequestId } from "../core/id.ts";
import type { Problem } from "../core/problem.ts";
import type { Placement } from "../core/request.ts";

/** The answer to one round of asking for a place. */
export type PlacementOutcome =
  | Readonly<{ type: "granted"; round: number; placement: Placement }>
  | Readonly<{ type: "refused"; round: number; problem: Problem }>;

/** Places for the requests of this daemon; written by `PlacementController`. */
export type PlacementSection = {
  placed: Map<RequestId, PlacementOutcome>;
  /** Prompts that wait for a place here, for this daemon or for others. */
  queued: number;
};

/** A daemon's view at its start. */
export function createPlacementSection(): PlacementSection {
  return { placed: new Map(), queued: 0 };
}
