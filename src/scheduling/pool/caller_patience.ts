import type { Millis } from "../../core/time.ts";
import type { PoolAsk } from "./pool_job.ts";

/** Patience of callers with a silent stream, as the platform states it: the longest of three spans. */
const MIN_PATIENCE_MS: Millis = 2_000;
const PATIENCE_TARGETS = 4;
const PATIENCE_PAUSES = 8;

/** How long a caller waits for the next event of a stream, the first one included. */
export function callerPatienceMs(
  stream: Readonly<{ targetMs: Millis; pauseMs: Millis }>,
): Millis {
  return Math.max(
    MIN_PATIENCE_MS,
    stream.targetMs * PATIENCE_TARGETS,
    stream.pauseMs * PATIENCE_PAUSES,
  );
}

/** How long the caller of an ask still waits for its first event. */
export function askPatienceMs(ask: PoolAsk): Millis {
  return Math.min(ask.leftMs, callerPatienceMs(ask));
}

/** Part of its caller's patience after which a silent stream is likely to be given up, by daemon or caller. */
const GIVEN_UP_PART = 0.5;

/** Silence of a stream, once it writes, after which it is likely to be given up. */
export function streamPatienceMs(pauseMs: Millis): Millis {
  return GIVEN_UP_PART * callerPatienceMs({ targetMs: 0, pauseMs });
}
