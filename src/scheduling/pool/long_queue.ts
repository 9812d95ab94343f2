import type { Millis, Timestamp } from "../../core/time.ts";
import type { JobId } from "./pool_job.ts";

/** A long prompt that waits for engines. */
export type LongWaiter = Readonly<{
  job: JobId;
  /** Prefill time on one engine. */
  workMs: Millis;
  /** When its first event is due. */
  dueAt: Timestamp;
  /** When its caller gives up. */
  endsAt: Timestamp;
  /** What its being in time is worth against others: its tokens. */
  value: number;
}>;

/** How fast the engines that take long prompts work off the queue: as many as there are, side by side. */
export type QueueSpeed = Readonly<{ engines: number; now: Timestamp }>;

/** Time before the caller gives up at which a late prompt goes before those that are in time. */
const LAST_CALL_MS: Millis = 700;

/**
 * Orders long prompts that wait: first those that can still be in time, earliest due first, then the late ones,
 * smallest first. Where not all can be in time, the one with the least value for its work is late (the rule of
 * Moore and Hodgson, weighted).
 * Load pattern: a wave of long prompts that exceeds what all engines can read within the target.
 */
export function orderQueue(
  waiters: readonly LongWaiter[],
  speed: QueueSpeed,
): readonly LongWaiter[] {
  const byDue = [...waiters].sort((a, b) => a.dueAt - b.dueAt);
  const inTime: LongWaiter[] = [];
  const late: LongWaiter[] = [];
  let endsAt = speed.now as number;
  for (const waiter of byDue) {
    inTime.push(waiter);
    endsAt += waiter.workMs / speed.engines;
    while (endsAt > waiter.dueAt && inTime.length > 0) {
      const worst = leastWorth(inTime);
      inTime.splice(inTime.indexOf(worst), 1);
      endsAt -= worst.workMs / speed.engines;
      late.push(worst);
      if (worst === waiter) break;
    }
  }
  late.sort((a, b) => a.workMs - b.workMs);
  const urgent = late.filter((one) => isLastCall(one, speed));
  const rest = late.filter((one) => !isLastCall(one, speed));
  return [...urgent, ...inTime, ...rest];
}

/** Time until all that waits has been read. */
export function backlogMs(
  waiters: readonly LongWaiter[],
  speed: QueueSpeed,
): Millis {
  let sum = 0;
  for (const waiter of waiters) sum += waiter.workMs;
  return sum / speed.engines;
}

function isLastCall(one: LongWaiter, speed: QueueSpeed): boolean {
  const latest = one.endsAt - one.workMs / speed.engines;
  return latest - speed.now < LAST_CALL_MS;
}

function leastWorth(waiters: readonly LongWaiter[]): LongWaiter {
  return waiters.reduce((a, b) =>
    b.value / b.workMs < a.value / a.workMs ? b : a
  );
}
