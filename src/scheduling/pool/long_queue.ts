import { addMs, type Millis, type Timestamp } from "../../core/time.ts";
import { firstEventTimeoutMs } from "./caller_timeout.ts";
import { type EnginePace, passMs, prefillMs } from "./engine_pace.ts";
import { engineMs, worthPerMs } from "./engine_worth.ts";
import type { JobId, PlacementRequest } from "./pool_job.ts";

/** A long prompt in the queue for engines. */
export type QueuedPrompt = Readonly<{
  job: JobId;
  /** Prefill time on a single engine. */
  prefillMs: Millis;
  /** When the prefill must end for the first event to meet its target. */
  dueAt: Timestamp;
  /** When the prefill must end for the first event to come before the caller times out. */
  timeoutAt: Timestamp;
  /** Weight of meeting the target, relative to other prompts. */
  weight: number;
  /** Whether it is preferred to others, as prompts of its size are served less often. */
  preferred?: boolean;
}>;

/** Number of engines that prefill long prompts in parallel, and the current time. */
export type PrefillCapacity = Readonly<{
  engines: number;
  now: Timestamp;
  /** Time until the engines are done with what they have, in the mean. */
  busyMs?: Millis;
}>;

/** Slack before the caller's time-out below which a late prompt precedes the prompts that are in time. */
const URGENT_MS: Millis = 700;

/**
 * Orders queued long prompts: first late prompts whose caller is about to time out, then prompts that can meet their
 * target, earliest due first, then the other late prompts, shortest first. If not all can meet their target, the
 * prompts with the lowest ratio of weight to prefill time become late (weighted Moore-Hodgson rule).
 * Load pattern: a wave of long prompts that exceeds what all engines can prefill within the target.
 */
export function orderQueue(
  prompts: readonly QueuedPrompt[],
  capacity: PrefillCapacity,
): readonly QueuedPrompt[] {
  const { inTime, late } = splitQueue(prompts, capacity);
  const urgent = late.filter((prompt) => isUrgent(prompt, capacity));
  const rest = late.filter((prompt) => !isUrgent(prompt, capacity));
  return [...urgent, ...inTime, ...rest];
}

/** Separates the prompts that can meet their target, earliest due first, from the others, shortest first. */
export function splitQueue(
  prompts: readonly QueuedPrompt[],
  capacity: PrefillCapacity,
): Readonly<
  { inTime: readonly QueuedPrompt[]; late: readonly QueuedPrompt[] }
> {
  const byDue = [...prompts].sort((a, b) => a.dueAt - b.dueAt);
  const inTime: QueuedPrompt[] = [];
  const late: QueuedPrompt[] = [];
  let finishesAt = capacity.now + (capacity.busyMs ?? 0);
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
  return { inTime, late };
}

/** Time until all queued prompts are prefilled. */
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
  const others = prompts.filter((prompt) => prompt.preferred !== true);
  return (others.length > 0 ? others : prompts).reduce((a, b) =>
    b.weight / b.prefillMs < a.weight / a.prefillMs ? b : a
  );
}

/** The queue's view of a request for a long prompt that arrives now. */
export function queuedPromptOf(
  ask: PlacementRequest,
  pace: EnginePace,
  now: Timestamp,
): QueuedPrompt {
  const passTimeMs = passMs(pace, 1, ask.promptTokens);
  const ownMs = prefillMs(pace, ask.promptTokens);
  return {
    job: ask.job,
    prefillMs: ownMs,
    dueAt: addMs(now, ask.targetMs - passTimeMs),
    timeoutAt: addMs(now, firstEventTimeoutMs(ask) - passTimeMs),
    weight: ownMs * worthPerMs(ask, engineMs(ask, pace)),
  };
}

/** The queue's view of a long prompt for which room is booked: it counts as new, and precedes others. */
export function preferredPromptOf(
  ask: PlacementRequest,
  pace: EnginePace,
  now: Timestamp,
): QueuedPrompt {
  return { ...queuedPromptOf(ask, pace, now), preferred: true };
}
