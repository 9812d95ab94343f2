import type { PlanId, RequestId } from "../core/id.ts";
import type { Timestamp } from "../core/time.ts";
import type { PlanMemory } from "../scheduling/plan.ts";

/** A plan, with the progress of reserving its memory on the engines. */
export type PlanEntry = {
  readonly id: PlanId;
  readonly req: RequestId;
  /** Placement round that the plan belongs to. */
  readonly round: number;
  /** Parts in the order in which they are reserved. */
  readonly parts: readonly PlanMemory[];
  state: "reserving" | "held" | "failed";
  /** Number of leading parts that are reserved. */
  held: number;
  /** Whether a reservation of the next part is in flight. */
  inFlight: boolean;
  /** When the reservation of the next part is sent again. */
  nextAttemptAt: Timestamp;
  /** When the plan fails unless all parts are reserved. */
  readonly deadlineAt: Timestamp;
  /** When the reserved parts are renewed. */
  renewAt: Timestamp;
};

/** Plans of this daemon's requests; written by `PlanController`. */
export type PlansSection = { byId: Map<PlanId, PlanEntry> };

/** State at start. */
export function createPlansSection(): PlansSection {
  return { byId: new Map() };
}
