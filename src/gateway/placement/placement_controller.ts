import { err, ok } from "neverthrow";
import type { UpstreamId, VmId } from "../../core/id.ts";
import { problem } from "../../core/problem.ts";
import type { Millis, Timestamp } from "../../core/time.ts";
import type {
  JobId,
  PlacementRequest,
  PoolJob,
} from "../../scheduling/pool/pool_job.ts";
import { callCandidates } from "../../scheduling/pool/call_candidates.ts";
import type { PoolDecision } from "../../scheduling/pool/pool_decision.ts";
import { placeableUpstreams, reopensInMs } from "../upstreams/availability.ts";
import { contentRefusalOf } from "../contents/content_refusal.ts";
import { placeLineOf } from "./place_line.ts";
import { PlacementRequestClient } from "./placement_request_client.ts";
import { PlacersNotifier } from "./placers_notifier.ts";
import { SoloPlacement } from "./solo_placement.ts";
import { addBookings, RoomSync } from "./room_sync.ts";
import { EngineInspector } from "../upstreams/engine_inspector.ts";
import type { GatewayBoard } from "../gateway_board.ts";
import { GatewayController, type GatewayStep } from "../gateway_controller.ts";
import type { GatewayEvent } from "../gateway_event.ts";
import { livenessTimeoutMs } from "../members/membership.ts";
import type { PeerMessage } from "../peers/peer_message.ts";

/** Upstream id in messages about a request that is not placed yet. */
const UNPLACED_UPSTREAM = "-" as UpstreamId;

/** Shortest Retry-After of a refusal; a client can't retry sooner. */
const MIN_RETRY_AFTER_MS: Millis = 50;

/** Peer address that a decision is sent to; undefined for the adapters of this daemon. */
type ReplyTo = string | undefined;

/** Places each request: through the leader or the deputy or, while both are silent, by itself. */
export class PlacementController extends GatewayController {
  readonly #requests = PlacementRequestClient.create();
  readonly #inspector = EngineInspector.create();
  readonly #notifier = PlacersNotifier.create();
  readonly #solo = SoloPlacement.create();
  readonly #roomSync = RoomSync.create();
  /** Recipients of the decisions on queued jobs. */
  readonly #replyTo = new Map<JobId, ReplyTo>();
  /** VMs whose jobs are tracked here, with the time of their last message. */
  readonly #lastReportAt = new Map<VmId, Timestamp>();

  static create(): PlacementController {
    return new PlacementController();
  }

  override step(board: GatewayBoard, step: GatewayStep): void {
    if (step.events.some((event) => event.type === "resumed")) {
      this.#requests.recordResume(step.now);
    }
    this.#roomSync.step(board);
    for (const event of step.events) this.#onEvent(board, step, event);
    this.#removeUnlistedUpstreams(board);
    for (const ask of this.#requests.resendPending(board, step)) {
      this.#submit(board, step, ask, undefined);
    }
    this.#removeSilentDaemons(board, step);
    this.#inspector.step(board, step);
    this.#decide(board, step);
    this.#notifier.sendDue(board, step);
  }

  #removeUnlistedUpstreams(board: GatewayBoard): void {
    const { register, pool } = board;
    const gone = register.updates.filter(({ kind }) =>
      kind === "gone" || kind === "restarted"
    );
    if (gone.length === 0) return;
    const { tracker } = pool.scheduler;
    for (const { id } of gone) tracker.loadOf(id).held.clear();
    const ids = register.table.all().map((entry) => entry.id);
    const listed = new Set(ids);
    tracker.retainUpstreams(listed);
    pool.scheduler.slowEngines.retainEngines(listed);
  }

  #onEvent(board: GatewayBoard, step: GatewayStep, event: GatewayEvent): void {
    if (event.type === "place") this.#request(board, step, event.ask);
    if (event.type === "withdraw") this.#withdraw(board, step, event.job);
    if (event.type === "job") {
      const result = event.phase === "failed" ? "failed" : "ok";
      this.#solo.answered(event.job, step.now, result);
      this.#applyProgress(board, step, event);
      this.#notifier.progress(board, step, { ...event, type: "progress" });
    }
    if (event.type === "message") this.#onMessage(board, step, event.message);
  }

  #request(
    board: GatewayBoard,
    step: GatewayStep,
    req: PlacementRequest,
  ): void {
    const ask = holdsParts(board, req) ? req : withoutParts(req);
    const sent = this.#requests.send(board, step, ask);
    if (!sent) this.#submit(board, step, ask, undefined);
  }

  /** Submits a request to the local scheduler; the decision goes to `replyTo`. */
  #submit(
    board: GatewayBoard,
    step: GatewayStep,
    ask: PlacementRequest,
    replyTo: ReplyTo,
  ): void {
    const { serving, pool, contents } = board;
    const { suspects } = contents;
    const refusal = contentRefusalOf(board, step, ask);
    if (refusal !== undefined) {
      this.#deliver(board, step, { ask, result: err(refusal) }, replyTo);
      return;
    }
    const pace = serving.routes?.serving.services.get(ask.service)?.pace;
    const placeable = placeableUpstreams(board, ask, step.now);
    const selected = replyTo === undefined
      ? this.#solo.select(board, step, { ask, members: placeable })
      : ok(placeable);
    if (selected.isErr()) {
      suspects.cancel(ask, ask.job);
      const result = err(selected.error);
      this.#deliver(board, step, { ask, result }, replyTo);
      return;
    }
    const members = ask.kind === "call"
      ? callCandidates(selected.value, ask)
      : selected.value;
    const reopensMs = reopensInMs(ask);
    if (members.length === 0 && reopensMs !== undefined) {
      const detail = "All upstreams have asked this daemon to wait";
      const retryAfterMs = Math.max(reopensMs, MIN_RETRY_AFTER_MS);
      const result = err(problem("no_upstream", detail, { retryAfterMs }));
      suspects.cancel(ask, ask.job);
      this.#deliver(board, step, { ask, result }, replyTo);
      return;
    }
    const decision = pool.scheduler.submit({ ask, members, pace }, step.now);
    if (decision !== undefined) {
      if (decision.result.isErr()) suspects.cancel(ask, ask.job);
      else this.#solo.placed(ask, step.now);
      this.#deliver(board, step, decision, replyTo);
      return;
    }
    this.#replyTo.set(ask.job, replyTo);
    if (replyTo === undefined) return;
    const message = { type: "wait", job: ask.job } as const;
    step.emit({ type: "send", to: replyTo, message });
  }

  /** Delivers the scheduler's decisions on queued requests. */
  #decide(board: GatewayBoard, step: GatewayStep): void {
    const { pool } = board;
    const decisions = pool.scheduler.decide(
      step.now,
      (ask) => {
        const members = placeableUpstreams(board, ask, step.now);
        return this.#replyTo.get(ask.job) === undefined
          ? this.#solo.part(board, step.now, { ask, members })
          : members;
      },
    );
    for (const decision of decisions) {
      const { ask } = decision;
      const replyTo = this.#replyTo.get(ask.job);
      this.#replyTo.delete(ask.job);
      // What is known of the content may have changed while the request was queued.
      const refusal = decision.result.isOk()
        ? contentRefusalOf(board, step, ask)
        : undefined;
      if (decision.result.isErr()) {
        board.contents.suspects.cancel(ask, ask.job);
      }
      if (refusal !== undefined) pool.scheduler.withdraw(ask.job, step.now);
      this.#deliver(
        board,
        step,
        refusal === undefined ? decision : { ask, result: err(refusal) },
        replyTo,
      );
    }
    const next = pool.scheduler.nextPollAt(step.now);
    if (next !== undefined) step.wake(next);
  }

  #deliver(
    board: GatewayBoard,
    step: GatewayStep,
    decision: PoolDecision,
    replyTo: ReplyTo,
  ): void {
    const { ask, result } = decision;
    step.line("place", placeLineOf(board, decision, step.now));
    if (result.isOk()) {
      this.#notifier.placed(board, step, result.value.job);
    }
    if (replyTo === undefined) {
      step.emit(
        result.isOk()
          ? { type: "granted", grant: result.value }
          : { type: "denied", job: ask.job, problem: result.error },
      );
      return;
    }
    step.emit({
      type: "send",
      to: replyTo,
      message: result.isOk()
        ? { type: "grant", grant: result.value }
        : { type: "deny", job: ask.job, ...result.error },
    });
  }

  #onMessage(
    board: GatewayBoard,
    step: GatewayStep,
    message: PeerMessage,
  ): void {
    const { scheduler } = board.pool;
    switch (message.type) {
      case "ask":
        this.#lastReportAt.set(message.ask.vm, step.now);
        // Without a table this daemon can't say that there is no upstream; the sender asks again, or another one.
        if (board.register.position.offset < 0) return;
        this.#submit(board, step, message.ask, message.reply);
        return;
      case "wait":
        this.#requests.deferResend(message.job, step.now);
        return;
      case "grant": {
        const { job } = message.grant;
        const isStale = this.#requests.isStale(job.id, step.now);
        if (!this.#requests.close(job.id)) {
          // The request was placed elsewhere or has ended; unless its job is known, the grant is released.
          const { id, upstream } = job;
          const known = scheduler.tracker.jobs.get(id);
          if (known === undefined) {
            this.#notifier.progress(board, step, {
              type: "progress",
              job: id,
              upstream,
              phase: "ended",
            });
          }
          return;
        }
        this.#solo.heard(step);
        this.#recordPlaced(board, step, job);
        // A late grant was counted when it was given, not now that it would be used.
        const grant = isStale
          ? { ...message.grant, counted: false }
          : message.grant;
        step.emit({ type: "granted", grant });
        return;
      }
      case "deny": {
        if (!this.#requests.close(message.job)) return;
        const { code, detail, retryAfterMs } = message;
        step.emit({
          type: "denied",
          job: message.job,
          problem: problem(code, detail, { retryAfterMs }),
        });
        return;
      }
      case "placed":
        for (const job of [message.job, ...message.more ?? []]) {
          this.#recordPlaced(board, step, job);
          this.#lastReportAt.set(job.vm, step.now);
        }
        if (message.by !== undefined) {
          this.#notifier.rivalPlaced(message.by, step.now);
        }
        return;
      case "progress":
        this.#applyProgress(board, step, message);
        return;
      case "heartbeat":
        if (message.from.vm === board.self.card.vm) return;
        this.#lastReportAt.set(message.from.vm, step.now);
        scheduler.tracker.syncDaemon(message.from.vm, message.jobs, step.now);
        addBookings(board, message.booked ?? [], step.now);
        return;
      default:
        return;
    }
  }

  /** Tracks a job that another daemon has placed, and counts it against the rate of its upstream. */
  #recordPlaced(board: GatewayBoard, step: GatewayStep, job: PoolJob): void {
    const { tracker, rates } = board.pool.scheduler;
    if (!tracker.jobs.has(job.id)) rates.charge(job.upstream, step.now);
    tracker.syncJob({ ...job, placedAt: step.now }, step.now);
  }

  #applyProgress(
    board: GatewayBoard,
    step: GatewayStep,
    progress: Omit<Extract<PeerMessage, { type: "progress" }>, "type">,
  ): void {
    const { scheduler } = board.pool;
    const { phase, silence, job, upstream } = progress;
    const load = scheduler.tracker.loadOf(upstream);
    if (silence === "begun") load.recordFailure(step.now);
    if (silence === "ended") load.recordSuccess(step.now);
    if (phase === "started") {
      if (silence === undefined) scheduler.started(job, step.now);
      return;
    }
    scheduler.withdraw(job, step.now);
    this.#notifier.ended(job);
    this.#replyTo.delete(job);
    // A failure by silence was counted when the silence began.
    if (silence === "lasting") return;
    if (phase === "failed") load.recordFailure(step.now);
    else load.recordSuccess(step.now);
  }

  #withdraw(board: GatewayBoard, step: GatewayStep, job: JobId): void {
    const wasPending = this.#requests.close(job);
    this.#replyTo.delete(job);
    board.pool.scheduler.withdraw(job, step.now);
    if (!wasPending) return;
    this.#notifier.progress(board, step, {
      type: "progress",
      job,
      upstream: UNPLACED_UPSTREAM,
      phase: "ended",
    });
  }

  #removeSilentDaemons(board: GatewayBoard, step: GatewayStep): void {
    for (const [vm, at] of this.#lastReportAt) {
      if (step.now - at <= 2 * livenessTimeoutMs(board)) continue;
      board.pool.scheduler.removeDaemon(vm, step.now);
      this.#lastReportAt.delete(vm);
    }
  }
}

/** Whether the engines of a request's service hold the beginning of a prompt beyond its request. */
function holdsParts(board: GatewayBoard, ask: PlacementRequest): boolean {
  const services = board.serving.routes?.serving.services;
  return services?.get(ask.service)?.pace?.heldMs !== undefined;
}

function withoutParts(ask: PlacementRequest): PlacementRequest {
  const { leadingParts: _, ...rest } = ask;
  return rest;
}
