import type { Millis, Timestamp } from "../../core/time.ts";
import type { JobId } from "./pool_job.ts";

/** A long prompt that waits for engines. */
export type QueuedPrompt = Readonly<{
  job: JobId;
  /** Prefill time on one engine. */
  prefillMs: Millis;
  /** When its first event is due. */
  dueAt: Timestamp;
  /** When its caller gives up. */
  timeoutAt: Timestamp;
  /** What its being in time is worth against others: its tokens. */
  weight: number;
}>;

/** How fast the engines that take long prompts work off the queue: as many as there are, side by side. */
export type PrefillCapacity = Readonly<{ engines: number; now: Timestamp }>;

/** Time before the caller gives up at which a late prompt goes before those that are in time. */
const URGENT_MS: Millis = 700;

/**
 * Orders long prompts that wait: first those that can still be in time, earliest due first, then the late ones,
 * smallest first. Where not all can be in time, the one with the least value for its work is late (the rule of
 * Moore and Hodgson, weighted).
 * Load pattern: a wave of long prompts that exceeds what all engines can read within the target.
 */
export function orderQueue(
  prompts: readonly QueuedPrompt[],
  capacity: PrefillCapacity,
): readonly QueuedPrompt[] {
  const byDue = [...prompts].sort((a, b) => a.dueAt - b.dueAt);
  const inTime: QueuedPrompt[] = [];
  const late: QueuedPrompt[] = [];
  let finishesAt = capacity.now as number;
  for (const prompt of byDue) {
    inTime.push(prompt);
    finishesAt += prompt.prefillMs / capacity.engines;
    while (finishesAt > prompt.dueAt && inTime.length > 0) {
      const worst = lowestWeightRatio(inTime);
      inTime.splice(inTime.indexOf(worst), 1);
      finishesAt -= worst.prefillMs / capacity.engines;
      late.push(worst);
      if (worst === prompt) break;
    }
  }
  late.sort((a, b) => a.prefillMs - b.prefillMs);
  const urgent = late.filter((prompt) => isUrgent(prompt, capacity));
  const rest = late.filter((prompt) => !isUrgent(prompt, capacity));
  return [...urgent, ...inTime, ...rest];
}

/** Time until all that waits has been read. */
export function backlogMs(
  prompts: readonly QueuedPrompt[],
  capacity: PrefillCapacity,
): Millis {
  let sum = 0;
  for (const prompt of prompts) sum += prompt.prefillMs;
  return sum / capacity.engines;
}

function isUrgent(prompt: QueuedPrompt, capacity: PrefillCapacity): boolean {
  const latestStartAt = prompt.timeoutAt - prompt.prefillMs / capacity.engines;
  return latestStartAt - capacity.now < URGENT_MS;
}

function lowestWeightRatio(prompts: readonly QueuedPrompt[]): QueuedPrompt {
  return prompts.reduce((a, b) =>
    b.weight / b.prefillMs < a.weight / a.prefillMs ? b : a
  );
}
