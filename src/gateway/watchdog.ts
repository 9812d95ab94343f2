import type { Millis } from "../core/time.ts";
import type { Route } from "./serving.ts";

/** Silence after which an upstream that never sent anything is given up at the earliest. */
const MIN_FIRST_MS: Millis = 900;
/** How far a prediction of the first event may be off. */
const FIRST_FACTOR = 3;
const FIRST_SLACK_MS: Millis = 400;
/** Silence within an answer after which its upstream is given up; several passes of a loaded engine. */
const MIN_GAP_MS: Millis = 1_000;
/** Pauses, as the route bounds them, that an upstream may be late. */
const GAP_PAUSES = 2.5;
/** Part of a call's time after which a repeatable call is tried elsewhere. */
const CALL_PART = 0.45;

/** How long an upstream may be silent before its first byte, and between bytes. */
export type Patience = Readonly<{ firstMs: Millis; gapMs: Millis }>;

/** Bounds the silence of an upstream: a dead one says nothing, and the caller's own patience is short. */
export function patienceOf(
  route: Route,
  options: Readonly<{ expectMs: Millis; leftMs: Millis }>,
): Patience {
  const { expectMs, leftMs } = options;
  if (route.kind === "once") return { firstMs: leftMs, gapMs: leftMs };
  if (route.kind === "repeatable") {
    const tryMs = Math.max(route.targetMs, route.timeoutMs * CALL_PART);
    // Without the time for another try, the first one is waited for.
    const firstMs = leftMs - tryMs < route.targetMs / 2 ? leftMs : tryMs;
    return { firstMs, gapMs: firstMs };
  }
  return {
    firstMs: Math.max(MIN_FIRST_MS, expectMs * FIRST_FACTOR + FIRST_SLACK_MS),
    gapMs: Math.max(MIN_GAP_MS, route.pauseMs * GAP_PAUSES),
  };
}
