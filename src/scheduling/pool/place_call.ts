import type { Millis } from "../../core/time.ts";
import { type Candidate, penaltyMs, type PlacementInput } from "./candidate.ts";

/** Assumed duration of a call to a plain service. */
const TYPICAL_CALL_MS: Millis = 90;

/** The instance for a call, with the predicted duration. */
export type CallPlacement = Readonly<{ instance: Candidate; expectMs: Millis }>;

/**
 * Chooses the instance of a plain service with the lowest cost: predicted duration, utilization and penalties.
 * Load pattern: bursts of short calls over few instances with few slots each.
 */
export function placeCall(input: PlacementInput): CallPlacement | undefined {
  let best: (CallPlacement & { cost: Millis }) | undefined;
  for (const instance of input.candidates) {
    const excessCalls = Math.max(0, instance.load.ownJobs + 1 - instance.slots);
    const utilization = instance.load.ownJobs / instance.slots;
    const expectMs = TYPICAL_CALL_MS * (1 + excessCalls / instance.slots);
    const cost = expectMs + utilization * TYPICAL_CALL_MS / 2 +
      penaltyMs(input, instance);
    if (best === undefined || cost < best.cost) {
      best = { instance, expectMs, cost };
    }
  }
  return best;
}
