import type { Millis } from "../../core/time.ts";

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
