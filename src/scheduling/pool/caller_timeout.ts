import type { Millis } from "../../core/time.ts";
import type { PlacementRequest } from "./pool_job.ts";

/** A caller's time-out for a silent stream, as the platform specifies it: the longest of these three. */
const MIN_TIMEOUT_MS: Millis = 2_000;
const TARGET_FACTOR = 4;
const PAUSE_FACTOR = 8;

/** Time that a caller waits for each event of a stream, including the first. */
export function callerTimeoutMs(
  stream: Readonly<{ targetMs: Millis; pauseMs: Millis }>,
): Millis {
  return Math.max(
    MIN_TIMEOUT_MS,
    stream.targetMs * TARGET_FACTOR,
    stream.pauseMs * PAUSE_FACTOR,
  );
}

/** Time that the caller of a placement request still waits for the first event. */
export function firstEventTimeoutMs(ask: PlacementRequest): Millis {
  return Math.min(ask.leftMs, callerTimeoutMs(ask));
}

/** Fraction of the caller's time-out after which the daemon or the caller is likely to abort a silent stream. */
const ABORT_FRACTION = 0.5;

/** Silence after which a stream that has had its first event is likely to be aborted. */
export function streamAbortMs(pauseMs: Millis): Millis {
  return ABORT_FRACTION * callerTimeoutMs({ targetMs: 0, pauseMs });
}
