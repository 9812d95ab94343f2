import type { Blackboard } from "../board/blackboard.ts";
import type { RequestEntry } from "../board/requests_section.ts";
import { Controller } from "../core/controller.ts";
import type { Event } from "../core/event.ts";
import type { DaemonId, RequestId, UpstreamId } from "../core/id.ts";
import type { StepContext } from "../core/step_context.ts";
import { addMs, type Millis, SECOND_MS, type Timestamp } from "../core/time.ts";
import type { Envelope, PlaceAsk, PlaceUpdate, Suspect } from "../gen/peer.ts";
import type {
  CellPlacementRequest,
  CellPlacementResult,
} from "../scheduling/cell_placement.ts";
import type { JobEvent } from "../scheduling/cell_scheduler.ts";
import {
  fromPlaceAsk,
  fromPlaceGrant,
  fromPlaceRefusal,
  toPlaceAsk,
} from "../scheduling/place_messages.ts";
import { incarnationOf } from "./incarnation_of.ts";
import { LocalScheduler } from "./local_scheduler.ts";
import { PlaceMessenger } from "./place_messenger.ts";
import { toAsk } from "./place_ask.ts";
import { placeCall } from "./call_placement.ts";
import { canReattach, mayRunOnSilentEngine } from "./retry_decision.ts";

/** Time without an answer after which the requesting daemon places the prompt itself. */
const ANSWER_TIMEOUT_MS: Millis = 150;
/**
 * Interval at which the ask of a queued prompt is repeated: it renews the prompt in the scheduling daemon's queue, or
 * queues it again if that daemon has lost it.
 */
const QUEUED_ASK_INTERVAL_MS: Millis = 2 * SECOND_MS;

/** The newest placement request of a request, kept until the request has ended. */
type Round = {
  readonly ask: CellPlacementRequest;
  /** The daemon that received it: this daemon if it places the prompt itself. */
  scheduler: DaemonId;
  state: "asked" | "queued" | "placed";
  askedAt: Timestamp;
};

/** Places the requests of this daemon and, on the scheduling daemon, all prompts of the cell. */
export class PlacementController extends Controller {
  override readonly name = "placement";
  readonly #scheduler = LocalScheduler.create();
  readonly #messenger = PlaceMessenger.create();
  readonly #rounds = new Map<RequestId, Round>();

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
    for (const { ask, answer } of this.#scheduler.dispatch(ctx)) {
      this.#deliver(board, ctx, ask, answer);
    }
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
        return this.#updateJob(board, ctx, {
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
      }
      : undefined;
    this.#updateJob(board, ctx, {
      request: event.req,
      state: "ended",
      suspect,
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
        return this.#onAnswer(board, ctx, from, {
          request: request as RequestId,
          round,
          answer: { type: "granted", placement },
        });
      }
      case "placeRefusal": {
        const { request, round } = envelope.body.value;
        const refused = fromPlaceRefusal(envelope.body.value);
        return this.#onAnswer(board, ctx, from, {
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
    const answer = this.#scheduler.decide(board, ask, ctx.now);
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
      return this.#onAnswer(board, ctx, from, {
        request,
        round: message.round,
        answer: { type: "queued" },
      });
    }
    if (message.suspect?.silent === false) {
      this.#scheduler.recordCrash(message.suspect.upstream as UpstreamId);
    }
    const update = message.state as JobEvent;
    const { round } = message;
    this.#scheduler.update(request, update, { round, now: ctx.now });
  }

  #onAnswer(
    board: Blackboard,
    ctx: StepContext,
    from: DaemonId,
    options: Readonly<
      { request: RequestId; round: number; answer: CellPlacementResult }
    >,
  ): void {
    const { request, answer } = options;
    const round = this.#rounds.get(request);
    const stale = round === undefined || round.ask.round !== options.round ||
      round.scheduler !== from;
    // A duplicate answer belongs to an ask that was sent twice.
    if (!stale && round.state === "placed") return;
    if (!stale) return this.#applyAnswer(board, ctx, round, answer);
    if (answer.type === "granted") {
      this.#messenger.sendUpdate(board, ctx, from, {
        request,
        round: options.round,
        state: "withdrawn",
      });
    }
  }

  #applyAnswer(
    board: Blackboard,
    ctx: StepContext,
    round: Round,
    answer: CellPlacementResult,
  ): void {
    const { request, round: number } = round.ask;
    if (answer.type === "queued") {
      round.state = "queued";
      return;
    }
    round.state = "placed";
    board.placement.placed.set(
      request,
      answer.type === "granted"
        ? { type: "granted", round: number, placement: answer.placement }
        : { type: "refused", round: number, problem: answer.problem },
    );
    ctx.repeat();
  }

  #place(board: Blackboard, ctx: StepContext, entry: RequestEntry): void {
    const { req } = entry;
    if (req.kind === "call") return this.#placeCall(board, ctx, entry);
    const round = this.#rounds.get(req.id);
    if (round === undefined || round.ask.round !== entry.round) {
      return this.#startRound(board, ctx, toAsk(board, entry, req));
    }
    if (round.state !== "placed") this.#resendIfDue(board, ctx, round);
  }

  #placeCall(board: Blackboard, ctx: StepContext, entry: RequestEntry): void {
    const { req } = entry;
    const placed = board.placement.placed.get(req.id);
    if (req.kind !== "call" || placed?.round === entry.round) return;
    board.placement.placed.set(req.id, placeCall(board, entry, req));
    ctx.repeat();
  }

  #startRound(
    board: Blackboard,
    ctx: StepContext,
    ask: CellPlacementRequest,
  ): void {
    const { scheduler } = board.members;
    const round: Round = {
      ask,
      scheduler,
      state: "asked",
      askedAt: ctx.now,
    };
    this.#rounds.set(ask.request, round);
    if (this.#sendAsk(board, ctx, round)) return;
    this.#askSelf(board, ctx, round);
  }

  #askSelf(board: Blackboard, ctx: StepContext, round: Round): void {
    round.scheduler = board.self.id;
    round.askedAt = ctx.now;
    ctx.counters.add("placements_local");
    const answer = this.#scheduler.decide(board, round.ask, ctx.now);
    this.#applyAnswer(board, ctx, round, answer);
  }

  /** Sends the ask to the scheduling daemon; returns false if that is this daemon or its address is not known. */
  #sendAsk(board: Blackboard, ctx: StepContext, round: Round): boolean {
    const { scheduler } = board.members;
    const sent = scheduler !== board.self.id &&
      this.#messenger.send(board, ctx, scheduler, {
        $case: "placeAsk",
        value: toPlaceAsk(round.ask, ctx.now),
      });
    if (!sent) return false;
    round.scheduler = scheduler;
    round.askedAt = ctx.now;
    ctx.wakeAt(addMs(ctx.now, ANSWER_TIMEOUT_MS));
    return true;
  }

  /** Repeats an ask whose answer is overdue; a scheduling daemon that never answered is bypassed. */
  #resendIfDue(board: Blackboard, ctx: StepContext, round: Round): void {
    const timeoutMs = round.state === "asked"
      ? ANSWER_TIMEOUT_MS
      : QUEUED_ASK_INTERVAL_MS;
    const dueAt = addMs(round.askedAt, timeoutMs);
    if (ctx.now < dueAt) return ctx.wakeAt(dueAt);
    if (round.state === "asked") return this.#askSelf(board, ctx, round);
    const wasLocal = round.scheduler === board.self.id;
    if (wasLocal) return this.#askSelf(board, ctx, round);
    round.state = "asked";
    if (!this.#sendAsk(board, ctx, round)) this.#askSelf(board, ctx, round);
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
    for (const round of this.#rounds.values()) {
      if (round.scheduler !== peer || round.state === "placed") continue;
      this.#askSelf(board, ctx, round);
    }
  }

  #deliver(
    board: Blackboard,
    ctx: StepContext,
    ask: CellPlacementRequest,
    answer: CellPlacementResult,
  ): void {
    if (ask.from === board.self.id) {
      const round = this.#rounds.get(ask.request);
      if (round !== undefined) this.#applyAnswer(board, ctx, round, answer);
      return;
    }
    this.#messenger.sendAnswer(board, ctx, { ask, answer });
  }

  /** Removes ended requests and releases the places that schedulers still hold for them. */
  #removeEnded(board: Blackboard, ctx: StepContext): void {
    for (const request of this.#rounds.keys()) {
      if (board.requests.byId.has(request)) continue;
      this.#updateJob(board, ctx, { request, state: "withdrawn" });
      this.#rounds.delete(request);
    }
    for (const request of board.placement.placed.keys()) {
      if (board.requests.byId.get(request)?.state !== "placing") {
        board.placement.placed.delete(request);
      }
    }
  }

  #updateJob(
    board: Blackboard,
    ctx: StepContext,
    options: Readonly<
      { request: RequestId; state: JobEvent; suspect?: Suspect }
    >,
  ): void {
    const { request, state, suspect } = options;
    const round = this.#rounds.get(request);
    if (round === undefined) return;
    if (round.scheduler === board.self.id) {
      const options = { round: round.ask.round, now: ctx.now };
      return this.#scheduler.update(request, state, options);
    }
    this.#messenger.sendUpdate(board, ctx, round.scheduler, {
      request,
      round: round.ask.round,
      state,
      suspect,
    });
  }
}
