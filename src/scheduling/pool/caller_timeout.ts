import type { Millis } from "../../core/time.ts";
import type { PoolAsk } from "./pool_job.ts";

/** SilenceLimits of callers with a silent stream, as the platform states it: the longest of three spans. */
const MIN_TIMEOUT_MS: Millis = 2_000;
const TIMEOUT_TARGETS = 4;
const TIMEOUT_PAUSES = 8;

/** How long a caller waits for the next event of a stream, the first one included. */
export function callerTimeoutMs(
  stream: Readonly<{ targetMs: Millis; pauseMs: Millis }>,
): Millis {
  return Math.max(
    MIN_TIMEOUT_MS,
    stream.targetMs * TIMEOUT_TARGETS,
    stream.pauseMs * TIMEOUT_PAUSES,
  );
}

/** How long the caller of an ask still waits for its first event. */
export function askTimeoutMs(ask: PoolAsk): Millis {
  return Math.min(ask.leftMs, callerTimeoutMs(ask));
}

/** Part of its caller's timeout after which a silent stream is likely to be given up, by daemon or caller. */
const GIVEN_UP_PART = 0.5;

/** Silence of a stream, once it writes, after which it is likely to be given up. */
export function streamTimeoutMs(pauseMs: Millis): Millis {
  return GIVEN_UP_PART * callerTimeoutMs({ targetMs: 0, pauseMs });
}
