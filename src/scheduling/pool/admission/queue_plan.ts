import type { UpstreamId } from "../../../core/id.ts";
import type { Timestamp } from "../../../core/time.ts";
import type { Candidate } from "../candidate.ts";
import { orderQueue, type QueuedPrompt, splitQueue } from "../long_queue.ts";

/** What to do with a queued prompt: to place it as soon as engines are free, or to refuse it now. */
export type PlannedPrompt = Readonly<{
  prompt: QueuedPrompt;
  shed: boolean;
  /** Engines that are closed to it, as others need them. */
  closed?: ReadonlySet<UpstreamId>;
}>;

/** Fraction of the engines for long prompts that late ones may use. */
const LATE_ENGINE_FRACTION = 0.25;

/** A service's queue, and the engines that serve it. */
export type QueueState = Readonly<{
  prompts: readonly QueuedPrompt[];
  candidates: readonly Candidate[];
  /** Engines for short prompts while room is short. */
  shortEngines: ReadonlySet<UpstreamId> | undefined;
  now: Timestamp;
}>;

/**
 * Orders a queue. While room is short, prompts that can't be in time get a few engines only, and those that even these
 * can't serve before their time-out are refused at once.
 * Load pattern: a crest of long prompts that lasts longer than their aim. Late prompts that wait up to their time-out
 * make all that follow late as well.
 */
export function planQueue(state: QueueState): readonly PlannedPrompt[] {
  const { prompts, candidates, shortEngines, now } = state;
  if (shortEngines === undefined) {
    const engines = tolerantEngines(candidates);
    return orderQueue(prompts, { engines, now })
      .map((prompt) => ({ prompt, shed: false }));
  }
  const { inTime, late } = splitQueue(prompts, capacityOf(state));
  const planned: PlannedPrompt[] = inTime.map((prompt) => ({
    prompt,
    shed: false,
  }));
  const others = candidates.filter(({ id }) => !shortEngines.has(id));
  const count = Math.ceil(others.length * LATE_ENGINE_FRACTION);
  const open = new Set(others.slice(0, count).map(({ id }) => id));
  const closed = new Set(
    candidates.map(({ id }) => id).filter((id) => !open.has(id)),
  );
  let doneAt = now as number;
  for (const prompt of late) {
    const endsAt = doneAt + prompt.prefillMs / Math.max(1, count);
    const shed = endsAt > prompt.timeoutAt;
    if (!shed) doneAt = endsAt;
    planned.push({
      prompt: { ...prompt, dueAt: prompt.timeoutAt },
      shed,
      closed,
    });
  }
  return planned;
}

/** Whether some queued prompts can't be in time. */
export function hasLatePrompts(state: QueueState): boolean {
  return splitQueue(state.prompts, capacityOf(state)).late.length > 0;
}

function capacityOf({ candidates, shortEngines, now }: QueueState) {
  if (shortEngines === undefined) {
    return { engines: tolerantEngines(candidates), now };
  }
  const others = candidates.filter(({ id }) => !shortEngines.has(id));
  const engines = Math.max(1, others.length);
  let busyMs = 0;
  for (const { load } of others) busyMs += load.backlogMs(now);
  return { engines, now, busyMs: busyMs / engines };
}

/** Number of engines that prefill long prompts in parallel: those without sensitive streams, at least 1. */
export function tolerantEngines(candidates: readonly Candidate[]): number {
  const tolerant = candidates.filter(({ load }) => load.sensitiveStreams === 0);
  return Math.max(1, tolerant.length);
}
