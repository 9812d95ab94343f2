import type { Millis } from "../../core/time.ts";
import { type Candidate, type Choice, penaltyMs } from "./candidate.ts";

/** Usual time of a call of a plain service before any was measured here. */
const CALL_MS: Millis = 90;

/** An instance for a call, with its predicted time. */
export type CallPlace = Readonly<{ instance: Candidate; expectMs: Millis }>;

/**
 * Chooses the instance of a plain service with the shortest predicted time.
 * Load pattern: bursts of short calls over few instances with few slots each.
 */
export function placeCall(choice: Choice): CallPlace | undefined {
  let best: (CallPlace & { cost: Millis }) | undefined;
  for (const instance of choice.candidates) {
    const over = Math.max(0, instance.load.own + 1 - instance.slots);
    const busy = instance.load.own / instance.slots;
    const expectMs = CALL_MS * (1 + over / instance.slots);
    const cost = expectMs + busy * CALL_MS / 2 + penaltyMs(choice, instance);
    if (best === undefined || cost < best.cost) {
      best = { instance, expectMs, cost };
    }
  }
  return best;
}
