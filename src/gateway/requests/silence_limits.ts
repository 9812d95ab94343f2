import type { Millis } from "../../core/time.ts";
import { callerTimeoutMs } from "../../scheduling/pool/caller_timeout.ts";
import type { Route } from "../serving/serving.ts";

/** Silence after which an upstream is given up at the earliest; several passes of a loaded engine. */
const MIN_SILENCE_MS: Millis = 1_200;
/** Part of the caller's timeout that one upstream may use up, so that another one can still answer. */
const GAP_TIMEOUT_RATIO = 0.4;
/** How far a prediction of the first event may be off. */
const FIRST_EVENT_FACTOR = 2;
/** Part of a call's time after which a repeatable call is tried elsewhere. */
const CALL_TIMEOUT_RATIO = 0.45;

/** How long an upstream may be silent before its first byte, and between bytes. */
export type SilenceLimits = Readonly<{ firstMs: Millis; gapMs: Millis }>;

/** Bounds the silence of an upstream: a dead one says nothing, and the caller's own timeout is short. */
export function silenceLimitsOf(
  route: Route,
  options: Readonly<{ expectMs: Millis; leftMs: Millis }>,
): SilenceLimits {
  const { expectMs, leftMs } = options;
  if (route.kind === "once") return { firstMs: leftMs, gapMs: leftMs };
  if (route.kind === "repeatable") {
    const attemptMs = Math.max(
      route.targetMs,
      route.timeoutMs * CALL_TIMEOUT_RATIO,
    );
    // Without the time for another try, the first one is waited for.
    const firstMs = leftMs - attemptMs < route.targetMs / 2
      ? leftMs
      : attemptMs;
    return { firstMs, gapMs: firstMs };
  }
  const gapMs = Math.max(
    MIN_SILENCE_MS,
    callerTimeoutMs(route) * GAP_TIMEOUT_RATIO,
  );
  return { firstMs: gapMs + expectMs * FIRST_EVENT_FACTOR, gapMs };
}
