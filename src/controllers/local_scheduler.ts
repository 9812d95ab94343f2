import type { Blackboard } from "../board/blackboard.ts";
import type { Event } from "../core/event.ts";
import type { DaemonId, RequestId, UpstreamId } from "../core/id.ts";
import type { StepContext } from "../core/step_context.ts";
import { addMs, type Timestamp } from "../core/time.ts";
import type { Suspect } from "../gen/peer.ts";
import type {
  CellPlacementDecision,
  CellPlacementRequest,
  CellPlacementResult,
  GateDecision,
} from "../scheduling/cell_placement.ts";
import {
  CellScheduler,
  DISPATCH_MS,
  type JobEvent,
} from "../scheduling/cell_scheduler.ts";
import type { Job } from "../scheduling/job.ts";
import { shortDigest } from "../scheduling/place_messages.ts";
import { DEFAULT_POLICY } from "../scheduling/policy.ts";
import { livePeers } from "./membership_controller.ts";
import { isSuspect } from "./place_ask.ts";
import { clearContent } from "./crash_limit.ts";
import { judgeSuspect } from "./suspect_gate.ts";

/** Progress of a placed prompt, as reported by the daemon that serves it. */
export type JobUpdate = Readonly<{
  state: JobEvent;
  round: number;
  now: Timestamp;
  answered?: boolean;
  suspect?: Suspect;
}>;

/** Places prompts of this daemon and of those that ask it, unless their content is quarantined or has to wait. */
export class LocalScheduler {
  readonly #scheduler = CellScheduler.create(DEFAULT_POLICY);
  /** Ids of the live peers at the last step, joined by commas. */
  #lastLiveIds = "";

  static create(): LocalScheduler {
    return new LocalScheduler();
  }

  /** Prompts that this daemon has placed. */
  get jobs(): ReadonlyMap<RequestId, Job> {
    return this.#scheduler.tracker.jobs;
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
    ctx: StepContext,
    ask: CellPlacementRequest,
  ): CellPlacementResult {
    const gated = this.#judge(board, ctx, ask);
    if (gated.type !== "run") return gated;
    const result = this.#scheduler.submit(gated.ask, ctx.now);
    if (result.type === "refused") endTrial(board, ask.request);
    return result;
  }

  /** Applies a progress report of a placed prompt; `answered` and `suspect` say how it ended, if that is known. */
  update(
    board: Blackboard,
    request: RequestId,
    update: JobUpdate,
  ): void {
    const { state, now, round } = update;
    const { blocks } = board.quarantine;
    if (update.answered === true) {
      const job = this.#scheduler.tracker.jobs.get(request);
      if (job !== undefined) {
        blocks.recordAnswer(job.ask.blocks, now);
        clearContent(board, job.ask.digest, now);
      }
    }
    // An engine that fell silent may still crash, so that its trial counts.
    if (update.suspect !== undefined) blocks.useUpTrial(request);
    else if (state !== "first_token") blocks.endTrial(request, "may_be_sent");
    this.#scheduler.update(request, state, { round, now });
  }

  /** Places or refuses queued prompts where that is possible now. */
  dispatch(
    board: Blackboard,
    ctx: StepContext,
  ): readonly CellPlacementDecision[] {
    const decisions = this.#scheduler.dispatch(
      ctx.now,
      (ask) => this.#judge(board, ctx, ask),
    );
    for (const { ask, answer } of decisions) {
      if (answer.type === "refused") endTrial(board, ask.request);
    }
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

  #judge(
    board: Blackboard,
    ctx: StepContext,
    ask: CellPlacementRequest,
  ): GateDecision {
    const { tracker } = this.#scheduler;
    const decision = judgeSuspect(board, ctx, ask, () => tracker.jobs.values());
    // A suspect is kept apart from others, also from those that were placed before they became suspect.
    if (decision.type === "run" && decision.ask.suspect) {
      tracker.markSuspects((placed) => isSuspect(board, placed));
    }
    return decision;
  }
}

function endTrial(board: Blackboard, request: RequestId): void {
  board.quarantine.blocks.endTrial(request, "never_sent");
}
