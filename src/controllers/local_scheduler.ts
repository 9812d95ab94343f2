import type { Blackboard } from "../board/blackboard.ts";
import type { Event } from "../core/event.ts";
import type { DaemonId, RequestId, UpstreamId } from "../core/id.ts";
import { problem } from "../core/problem.ts";
import type { StepContext } from "../core/step_context.ts";
import { addMs, type Timestamp } from "../core/time.ts";
import type {
  CellPlacementDecision,
  CellPlacementRequest,
  CellPlacementResult,
} from "../scheduling/cell_placement.ts";
import {
  CellScheduler,
  DISPATCH_MS,
  type JobEvent,
} from "../scheduling/cell_scheduler.ts";
import { shortDigest } from "../scheduling/place_messages.ts";
import { DEFAULT_POLICY } from "../scheduling/policy.ts";
import { mayHaveReachedCrashLimit } from "./crash_limit.ts";
import { livePeers } from "./membership_controller.ts";
import { withSuspectFlag } from "./place_ask.ts";

/** Places prompts of this daemon and of those that ask it, unless their content is quarantined or has to wait. */
export class LocalScheduler {
  readonly #scheduler = CellScheduler.create(DEFAULT_POLICY);
  /** Ids of the live peers at the last step, joined by commas. */
  #lastLiveIds = "";

  static create(): LocalScheduler {
    return new LocalScheduler();
  }

  get queueSize(): number {
    return this.#scheduler.queueSize;
  }

  /** Applies the configuration in force and the known upstreams. */
  applyBoard(board: Blackboard): void {
    this.#scheduler.setPolicy(board.config.serving?.limits ?? DEFAULT_POLICY);
    this.#scheduler.tracker.applyUpstreams(board.upstreams.byId.values());
  }

  applyCacheReport(event: Extract<Event, { type: "cache_reported" }>): void {
    const events = event.events.map((change) => ({
      ...change,
      blocks: change.blocks.map(shortDigest),
    }));
    this.#scheduler.tracker.applyCacheEvents(event.upstream, events);
  }

  /** Stops placing prompts on a crashed upstream, and removes its jobs. */
  recordCrash(upstream: UpstreamId): void {
    this.#scheduler.tracker.recordCrash(upstream);
  }

  /** Places, queues or refuses one prompt. */
  decide(
    board: Blackboard,
    unflagged: CellPlacementRequest,
    now: Timestamp,
  ): CellPlacementResult {
    const ask = withSuspectFlag(board, unflagged);
    if (this.#mustWait(board, ask)) return { type: "queued" };
    if (!board.quarantine.quarantined.has(ask.digest)) {
      return this.#scheduler.submit(ask, now);
    }
    const detail = "Each engine that ran this content crashed.";
    return { type: "refused", problem: problem("quarantined", detail) };
  }

  /** Applies a progress report of a placed prompt. */
  update(
    request: RequestId,
    update: JobEvent,
    options: Readonly<{ round: number; now: Timestamp }>,
  ): void {
    this.#scheduler.update(request, update, options);
  }

  /** Places or refuses queued prompts where that is possible now. */
  dispatch(ctx: StepContext): readonly CellPlacementDecision[] {
    const decisions = this.#scheduler.dispatch(ctx.now);
    if (this.queueSize > 0) ctx.wakeAt(addMs(ctx.now, DISPATCH_MS));
    return decisions;
  }

  /** Removes the queued prompts of a daemon that can't be reached. */
  dropQueuedOf(from: DaemonId): void {
    this.#scheduler.dropQueuedOf(from);
  }

  /** Removes the jobs of daemons that are no longer live. */
  removeLostDaemons(board: Blackboard, now: Timestamp): void {
    const live = livePeers(board, now).map((peer) => peer.id);
    const liveIds = live.join();
    if (liveIds === this.#lastLiveIds) return;
    this.#lastLiveIds = liveIds;
    this.#scheduler.retainDaemons(new Set([board.self.id, ...live]), now);
  }

  /** Suspect content runs in one copy at a time; other copies wait, and their daemons ask again. */
  #mustWait(board: Blackboard, ask: CellPlacementRequest): boolean {
    const { suspects, quarantined } = board.quarantine;
    if (quarantined.has(ask.digest)) return false;
    if (mayHaveReachedCrashLimit(board, ask.digest)) return true;
    if (!suspects.has(ask.digest)) return false;
    return [...this.#scheduler.tracker.jobs.values()].some((job) =>
      job.ask.digest === ask.digest && job.ask.request !== ask.request
    );
  }
}
