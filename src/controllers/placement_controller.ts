import type { Blackboard } from "../board/blackboard.ts";
import type { RequestEntry } from "../board/requests_section.ts";
import { Controller } from "../core/controller.ts";
import type { Event } from "../core/event.ts";
import type { DaemonId, RequestId, UpstreamId } from "../core/id.ts";
import type { StepContext } from "../core/step_context.ts";
import type { Envelope, PlaceAsk, PlaceUpdate } from "../gen/peer.ts";
import type {
  CellPlacementRequest,
  CellPlacementResult,
} from "../scheduling/cell_placement.ts";
import type { JobEvent } from "../scheduling/cell_scheduler.ts";
import {
  blocksField,
  fromPlaceAsk,
  fromPlaceGrant,
  fromPlaceRefusal,
} from "../scheduling/place_messages.ts";
import { incarnationOf } from "./incarnation_of.ts";
import { LocalScheduler } from "./local_scheduler.ts";
import { PlaceMessenger } from "./place_messenger.ts";
import { blocksOf } from "./place_ask.ts";
import { PlacementRounds } from "./placement_rounds.ts";
import { placeCall } from "./call_placement.ts";
import { canReattach, mayRunOnSilentEngine } from "./retry_decision.ts";

/** Places the requests of this daemon and, on the scheduling daemon, all prompts of the cell. */
export class PlacementController extends Controller {
  override readonly name = "placement";
  readonly #scheduler = LocalScheduler.create();
  readonly #messenger = PlaceMessenger.create();
  readonly #rounds = PlacementRounds.create(this.#scheduler, this.#messenger);

  static create(): PlacementController {
    return new PlacementController();
  }

  override step(board: Blackboard, ctx: StepContext): void {
    this.#scheduler.applyBoard(board);
    for (const event of ctx.events) this.#onEvent(board, ctx, event);
    this.#removeEnded(board, ctx);
    this.#scheduler.removeLostDaemons(board, ctx.now);
    for (const entry of board.requests.byId.values()) {
      if (entry.state === "placing") this.#place(board, ctx, entry);
    }
    for (const { ask, answer } of this.#scheduler.dispatch(board, ctx)) {
      this.#deliver(board, ctx, ask, answer);
    }
    board.placement.jobs = this.#scheduler.jobs;
    board.placement.queued = this.#scheduler.queueSize;
  }

  #onEvent(board: Blackboard, ctx: StepContext, event: Event): void {
    switch (event.type) {
      case "cache_reported":
        return this.#scheduler.applyCacheReport(event);
      case "peer_message":
        return this.#onMessage(board, ctx, event.envelope);
      case "peer_unreachable":
        return this.#onPeerUnreachable(board, ctx, event.address);
      case "first_token":
        return this.#rounds.updateJob(board, ctx, {
          request: event.req,
          state: "first_token",
        });
      case "attempt_ended":
        return this.#onAttemptEnded(board, ctx, event);
    }
  }

  #onAttemptEnded(
    board: Blackboard,
    ctx: StepContext,
    event: Extract<Event, { type: "attempt_ended" }>,
  ): void {
    const entry = board.requests.byId.get(event.req);
    if (entry?.attempt?.id !== event.attempt) return;
    const { outcome } = event;
    // The request reattaches to the same running stream, so its place stays occupied.
    if (outcome.type === "failed" && canReattach(entry, outcome, { board })) {
      return;
    }
    const crashed = outcome.type === "failed" && outcome.crashed;
    const upstream = crashed && outcome.upstream !== undefined
      ? outcome.upstream
      : entry.attempt.placement.upstream;
    if (crashed) this.#scheduler.recordCrash(upstream);
    const silent = outcome.type === "failed" &&
      mayRunOnSilentEngine(entry, outcome, { board });
    const suspect = crashed || silent
      ? {
        digest: entry.req.digest,
        upstream,
        incarnation: incarnationOf(board, upstream),
        atMs: ctx.now,
        silent,
        ...blocksField(blocksOf(entry.req)),
        ranMs: Math.round(ctx.now - entry.attempt.startedAt),
      }
      : undefined;
    this.#rounds.updateJob(board, ctx, {
      request: event.req,
      state: "ended",
      suspect,
      answered: outcome.type === "ok",
    });
  }

  #onMessage(board: Blackboard, ctx: StepContext, envelope: Envelope): void {
    const from = envelope.from as DaemonId;
    switch (envelope.body?.$case) {
      case "placeAsk":
        return this.#onAsk(board, ctx, from, envelope.body.value);
      case "placeGrant": {
        const { request, round } = envelope.body.value;
        const placement = fromPlaceGrant(envelope.body.value);
        if (placement === undefined) return;
        return this.#rounds.onAnswer(board, ctx, from, {
          request: request as RequestId,
          round,
          answer: { type: "granted", placement },
        });
      }
      case "placeRefusal": {
        const { request, round } = envelope.body.value;
        const refused = fromPlaceRefusal(envelope.body.value);
        return this.#rounds.onAnswer(board, ctx, from, {
          request: request as RequestId,
          round,
          answer: { type: "refused", problem: refused },
        });
      }
      case "placeUpdate":
        return this.#onUpdate(board, ctx, from, envelope.body.value);
    }
  }

  #onAsk(
    board: Blackboard,
    ctx: StepContext,
    from: DaemonId,
    message: PlaceAsk,
  ): void {
    const ask = fromPlaceAsk(from, message, ctx.now);
    const answer = this.#scheduler.decide(board, ctx, ask);
    this.#deliver(board, ctx, ask, answer);
    ctx.counters.add("placements_shared");
  }

  #onUpdate(
    board: Blackboard,
    ctx: StepContext,
    from: DaemonId,
    message: PlaceUpdate,
  ): void {
    const request = message.request as RequestId;
    if (message.state === "queued") {
      return this.#rounds.onAnswer(board, ctx, from, {
        request,
        round: message.round,
        answer: { type: "queued" },
      });
    }
    if (message.suspect?.silent === false) {
      this.#scheduler.recordCrash(message.suspect.upstream as UpstreamId);
    }
    const { round, suspect, answered } = message;
    const state = message.state as JobEvent;
    const update = { state, round, suspect, answered, now: ctx.now };
    this.#scheduler.update(board, request, update);
  }

  #place(board: Blackboard, ctx: StepContext, entry: RequestEntry): void {
    const { req } = entry;
    if (req.kind === "call") return this.#placeCall(board, ctx, entry);
    this.#rounds.place(board, ctx, entry, req);
  }

  #placeCall(board: Blackboard, ctx: StepContext, entry: RequestEntry): void {
    const { req } = entry;
    const placed = board.placement.placed.get(req.id);
    if (req.kind !== "call" || placed?.round === entry.round) return;
    board.placement.placed.set(req.id, placeCall(board, entry, req));
    ctx.repeat();
  }

  #onPeerUnreachable(
    board: Blackboard,
    ctx: StepContext,
    address: string,
  ): void {
    const peer = [...board.members.peers.values()]
      .find((known) => known.peerAddress === address)?.id;
    if (peer === undefined) return;
    this.#scheduler.dropQueuedOf(peer);
    this.#rounds.bypass(board, ctx, peer);
  }

  #deliver(
    board: Blackboard,
    ctx: StepContext,
    ask: CellPlacementRequest,
    answer: CellPlacementResult,
  ): void {
    if (ask.from === board.self.id) {
      return this.#rounds.applyOwn(board, ctx, ask.request, answer);
    }
    this.#messenger.sendAnswer(board, ctx, { ask, answer });
  }

  /** Removes ended requests and releases the places that schedulers still hold for them. */
  #removeEnded(board: Blackboard, ctx: StepContext): void {
    this.#rounds.removeEnded(board, ctx);
    for (const request of board.placement.placed.keys()) {
      if (board.requests.byId.get(request)?.state !== "placing") {
        board.placement.placed.delete(request);
      }
    }
  }
}
