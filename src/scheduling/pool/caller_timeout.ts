import type { Millis } from "../../core/time.ts";
import type { PlacementRequest } from "./pool_job.ts";

/** SilenceLimits of callers with a silent stream, as the platform states it: the longest of three spans. */
const MIN_TIMEOUT_MS: Millis = 2_000;
const TARGET_FACTOR = 4;
const PAUSE_FACTOR = 8;

/** How long a caller waits for the next event of a stream, the first one included. */
export function callerTimeoutMs(
  stream: Readonly<{ targetMs: Millis; pauseMs: Millis }>,
): Millis {
  return Math.max(
    MIN_TIMEOUT_MS,
    stream.targetMs * TARGET_FACTOR,
    stream.pauseMs * PAUSE_FACTOR,
  );
}

/** How long the caller of an ask still waits for its first event. */
export function firstEventTimeoutMs(ask: PlacementRequest): Millis {
  return Math.min(ask.leftMs, callerTimeoutMs(ask));
}

/** Part of its caller's timeout after which a silent stream is likely to be given up, by daemon or caller. */
const ABORT_FRACTION = 0.5;

/** Silence of a stream, once it writes, after which it is likely to be given up. */
export function streamAbortMs(pauseMs: Millis): Millis {
  return ABORT_FRACTION * callerTimeoutMs({ targetMs: 0, pauseMs });
}
