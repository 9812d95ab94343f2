import type { PlanId, RequestId } from "../core/id.ts";
import type { Timestamp } from "../core/time.ts";
import type { PlanMemory } from "../scheduling/plan.ts";

/** A plan whose memory this daemon reserves. */
export type PlanEntry = {
  readonly id: PlanId;
  readonly req: RequestId;
  /** Round of placement that it belongs to. */
  readonly round: number;
  /** In the order of reserving. */
  readonly parts: readonly PlanMemory[];
  state: "reserving" | "held" | "failed";
  /** Parts that are held. */
  held: number;
  /** Whether the next part was asked for and has not answered. */
  inFlight: boolean;
  /** When the next part is asked for again. */
  nextAttemptAt: Timestamp;
  /** When reserving is given up. */
  readonly deadlineAt: Timestamp;
  /** When the parts that are held are renewed. */
  renewAt: Timestamp;
};

/** Plans of this daemon's requests; written by `PlanController`. */
export type PlansSection = { byId: Map<PlanId, PlanEntry> };

/** A daemon's view at its start. */
export function createPlansSection(): PlansSection {
  return { byId: new Map() };
}
