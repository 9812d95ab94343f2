import type { Millis } from "../../core/time.ts";
import { type Candidate, penaltyMs, type PlacementInput } from "./candidate.ts";

/** Usual time of a call of a plain service before any was measured here. */
const TYPICAL_CALL_MS: Millis = 90;

/** An instance for a call, with its predicted time. */
export type CallPlacement = Readonly<{ instance: Candidate; expectMs: Millis }>;

/**
 * Chooses the instance of a plain service with the shortest predicted time.
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
