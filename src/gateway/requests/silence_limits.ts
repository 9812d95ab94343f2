import type { Millis } from "../../core/time.ts";
import { callerTimeoutMs } from "../../scheduling/pool/caller_timeout.ts";
import type { Route } from "../serving/serving_config.ts";

/** Least silence limit; as long as several forward passes of a loaded engine. */
const MIN_SILENCE_MS: Millis = 1_200;
/** Fraction of the caller's time-out that one silent upstream may use, so that a retry can still succeed. */
const GAP_TIMEOUT_RATIO = 0.4;
/** Allowance for error in the predicted time of the first event. */
const FIRST_EVENT_FACTOR = 2;
/** Fraction of a call's time-out after which a repeatable call is retried on another upstream. */
const CALL_TIMEOUT_RATIO = 0.45;

/** Silence of an upstream before its first data, and between data, after which another one is sought. */
export type SilenceLimits = Readonly<{ firstMs: Millis; gapMs: Millis }>;

/** Silence limits of a route; they detect a dead upstream while enough of the caller's time-out is left for a retry. */
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
    // Without time for a retry, the first attempt may use all that is left.
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
