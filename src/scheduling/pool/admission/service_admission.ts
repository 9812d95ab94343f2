import type { UpstreamId } from "../../../core/id.ts";
import type { Millis, Timestamp } from "../../../core/time.ts";
import type { Candidate } from "../candidate.ts";
import type { EnginePace } from "../engine_pace.ts";
import { engineMs, rankWeight } from "../engine_worth.ts";
import { type QueuedPrompt, queuedPromptOf } from "../long_queue.ts";
import type { PlacementRequest } from "../pool_job.ts";
import { hasLatePrompts, type PlannedPrompt, planQueue } from "./queue_plan.ts";
import { RefusedCallers } from "./refused_callers.ts";
import { type PromptClass, RoomShares } from "./room_shares.ts";
import { SizeBalance } from "./size_balance.ts";

/** What is known of the demand for one service's engines. */
export class ServiceAdmission {
  readonly #shares = RoomShares.create();
  readonly #refused = RefusedCallers.create();
  readonly #sizes = SizeBalance.create();

  static create(): ServiceAdmission {
    return new ServiceAdmission();
  }

  /** Counts a prompt that arrives. */
  offer(
    ask: PlacementRequest,
    now: Timestamp,
    options: Readonly<{ pace: EnginePace; promptClass: PromptClass }>,
  ): void {
    this.#shares.offer(options.promptClass, now, {
      engineMs: engineMs(ask, options.pace),
      weight: rankWeight(ask.rank),
    });
  }

  /** Records that a prompt found no engine on which it is in time. */
  lacked(now: Timestamp): void {
    this.#shares.lacked(now);
  }

  /** Engines for short prompts; undefined while there is room for all. */
  shortEngines(
    candidates: readonly Candidate[],
    now: Timestamp,
  ): ReadonlySet<UpstreamId> | undefined {
    return this.#shares.shortEngines(candidates, now);
  }

  /** Time for which the caller has waited since it was refused first; 0 for a new caller. */
  waitedMs(ask: PlacementRequest, now: Timestamp): Millis {
    return this.#refused.waitedMs(ask, now);
  }

  refused(ask: PlacementRequest, now: Timestamp): void {
    this.#refused.refused(ask, now);
  }

  /** Counts the decision on a queued prompt. */
  decided(ask: PlacementRequest, placed: boolean, now: Timestamp): void {
    this.#sizes.decided(ask, placed, now);
    if (!placed) this.refused(ask, now);
  }

  /** The queue's view of a prompt; for a caller who was refused before its time began with the refusal. */
  queuedPrompt(
    ask: PlacementRequest,
    pace: EnginePace,
    now: Timestamp,
  ): QueuedPrompt {
    const beganAt = (now - this.waitedMs(ask, now)) as Timestamp;
    return queuedPromptOf(ask, pace, beganAt);
  }

  /** What to do with the queued prompts, in order. */
  plan(
    queue: readonly Readonly<{ ask: PlacementRequest; prompt: QueuedPrompt }>[],
    candidates: readonly Candidate[],
    now: Timestamp,
  ): readonly PlannedPrompt[] {
    const shortEngines = this.shortEngines(candidates, now);
    const prompts = queue.map(({ ask, prompt }) =>
      shortEngines !== undefined && this.#sizes.isBehind(ask)
        ? { ...prompt, dueAt: prompt.timeoutAt, preferred: true }
        : prompt
    );
    const state = { prompts, candidates, shortEngines, now };
    if (hasLatePrompts(state)) this.lacked(now);
    return planQueue(state);
  }
}
