import type { Blackboard } from "../board/blackboard.ts";
import type { RequestEntry } from "../board/requests_section.ts";
import { Controller } from "../core/controller.ts";
import type { Event } from "../core/event.ts";
import type { DaemonId, RequestId } from "../core/id.ts";
import { problem } from "../core/problem.ts";
import type { StepContext } from "../core/step_context.ts";
import { addMs, type Millis, SECOND_MS, type Timestamp } from "../core/time.ts";
import type { Envelope, PlaceAsk, PlaceUpdate, Suspect } from "../gen/peer.ts";
import type { Answer, Ask } from "../scheduling/ask.ts";
import {
  CellScheduler,
  DISPATCH_MS,
  type JobEvent,
} from "../scheduling/cell_scheduler.ts";
import { DEFAULT_POLICY } from "../scheduling/policy.ts";
import {
  fromPlaceAsk,
  fromPlaceGrant,
  fromPlaceRefusal,
  shortDigest,
  toPlaceAsk,
} from "../scheduling/place_messages.ts";
import { mayHaveReachedCrashLimit } from "./crash_limit.ts";
import { incarnationOf } from "./incarnation_of.ts";
import { PlaceMail } from "./place_mail.ts";
import { toAsk, withSuspicion } from "./place_ask.ts";
import { placeCall } from "./call_placement.ts";
import { canReattach, isLeftSilent } from "./retry_decision.ts";
import { livePeers } from "./membership_controller.ts";

/** Silence after which an asker places by itself. */
const ASK_SILENCE_MS: Millis = 150;
/** Time after which a waiting prompt is asked for again, so that both ends know of each other. */
const ASK_AGAIN_MS: Millis = 2 * SECOND_MS;

/** One round of asking for a place, until the request has ended. */
type Round = {
  readonly ask: Ask;
  /** The daemon that was asked; this one where it places by itself. */
  scheduler: DaemonId;
  state: "asked" | "queued" | "placed";
  askedAt: Timestamp;
};

/** Places the requests of this daemon, and the prompts of the cell where it is the scheduling daemon. */
export class PlacementController extends Controller {
  override readonly name = "placement";
  readonly #scheduler = CellScheduler.create(DEFAULT_POLICY);
  readonly #mail = PlaceMail.create();
  readonly #rounds = new Map<RequestId, Round>();
  /** The live daemons, this one included, as they were last. */
  #live = "";

  static create(): PlacementController {
    return new PlacementController();
  }

  override step(board: Blackboard, ctx: StepContext): void {
    this.#scheduler.setPolicy(board.config.serving?.limits ?? DEFAULT_POLICY);
    this.#scheduler.accounts.takeUpstreams(board.upstreams.byId.values());
    for (const event of ctx.events) this.#take(board, ctx, event);
    this.#dropEnded(board, ctx);
    this.#dropLostAskers(board, ctx);
    for (const entry of board.requests.byId.values()) {
      if (entry.state === "placing") this.#place(board, ctx, entry);
    }
    this.#dispatch(board, ctx);
    board.placement.queued = this.#scheduler.queued;
  }

  #take(board: Blackboard, ctx: StepContext, event: Event): void {
    switch (event.type) {
      case "cache_reported": {
        const events = event.events.map((one) => ({
          ...one,
          blocks: one.blocks.map(shortDigest),
        }));
        return this.#scheduler.accounts.takeCacheEvents(event.upstream, events);
      }
      case "peer_message":
        return this.#receive(board, ctx, event.envelope);
      case "peer_unreachable":
        return this.#losePeer(board, ctx, event.address);
      case "first_token":
        return this.#tell(board, ctx, {
          request: event.req,
          state: "first_token",
        });
      case "attempt_ended":
        return this.#takeEnd(board, ctx, event);
    }
  }

  #takeEnd(
    board: Blackboard,
    ctx: StepContext,
    event: Extract<Event, { type: "attempt_ended" }>,
  ): void {
    const entry = board.requests.byId.get(event.req);
    if (entry?.attempt?.id !== event.attempt) return;
    const { outcome } = event;
    // The same answer is connected to again, so its place is still taken.
    if (outcome.type === "failed" && canReattach(entry, outcome, { board })) {
      return;
    }
    const crashed = outcome.type === "failed" && outcome.crashed;
    const upstream = crashed && outcome.upstream !== undefined
      ? outcome.upstream
      : entry.attempt.placement.upstream;
    if (crashed) this.#scheduler.accounts.engineCrashed(upstream);
    const silent = outcome.type === "failed" &&
      isLeftSilent(entry, outcome, { board });
    const suspect = crashed || silent
      ? {
        digest: entry.req.digest,
        upstream,
        incarnation: incarnationOf(board, upstream),
        atMs: ctx.now,
        silent,
      }
      : undefined;
    this.#tell(board, ctx, { request: event.req, state: "ended", suspect });
  }

  #receive(board: Blackboard, ctx: StepContext, envelope: Envelope): void {
    const from = envelope.from as DaemonId;
    switch (envelope.body?.$case) {
      case "placeAsk":
        return this.#takeAsk(board, ctx, from, envelope.body.value);
      case "placeGrant": {
        const { request, round } = envelope.body.value;
        const placement = fromPlaceGrant(envelope.body.value);
        if (placement === undefined) return;
        return this.#takeAnswer(board, ctx, from, {
          request: request as RequestId,
          round,
          answer: { type: "granted", placement },
        });
      }
      case "placeRefusal": {
        const { request, round } = envelope.body.value;
        const refused = fromPlaceRefusal(envelope.body.value);
        return this.#takeAnswer(board, ctx, from, {
          request: request as RequestId,
          round,
          answer: { type: "refused", problem: refused },
        });
      }
      case "placeUpdate":
        return this.#takeUpdate(board, ctx, from, envelope.body.value);
    }
  }

  #takeAsk(
    board: Blackboard,
    ctx: StepContext,
    from: DaemonId,
    message: PlaceAsk,
  ): void {
    const ask = withSuspicion(board, fromPlaceAsk(from, message, ctx.now));
    this.#reply(board, ctx, ask, this.#answer(board, ask, ctx.now));
    ctx.counters.add("placements_shared");
  }

  #answer(board: Blackboard, ask: Ask, now: Timestamp): Answer {
    if (this.#mustWait(board, ask)) return { type: "queued" };
    if (!board.quarantine.quarantined.has(ask.digest)) {
      return this.#scheduler.ask(ask, now);
    }
    const detail = "Engines crashed each time that they ran this content.";
    return { type: "refused", problem: problem("quarantined", detail) };
  }

  /** Content that may have crashed an engine runs once at a time; its asker asks again. */
  #mustWait(board: Blackboard, ask: Ask): boolean {
    const { suspects, quarantined } = board.quarantine;
    if (quarantined.has(ask.digest)) return false;
    if (mayHaveReachedCrashLimit(board, ask.digest)) return true;
    if (!suspects.has(ask.digest)) return false;
    return [...this.#scheduler.accounts.jobs.values()].some((job) =>
      job.ask.digest === ask.digest && job.ask.request !== ask.request
    );
  }

  #takeUpdate(
    board: Blackboard,
    ctx: StepContext,
    from: DaemonId,
    message: PlaceUpdate,
  ): void {
    const request = message.request as RequestId;
    if (message.state === "queued") {
      return this.#takeAnswer(board, ctx, from, {
        request,
        round: message.round,
        answer: { type: "queued" },
      });
    }
    if (message.suspect?.silent === false) {
      this.#scheduler.accounts.engineCrashed(message.suspect.upstream as never);
    }
    const update = message.state as JobEvent;
    const { round } = message;
    this.#scheduler.update(request, update, { round, now: ctx.now });
  }

  #takeAnswer(
    board: Blackboard,
    ctx: StepContext,
    from: DaemonId,
    options: Readonly<{ request: RequestId; round: number; answer: Answer }>,
  ): void {
    const { request, answer } = options;
    const round = this.#rounds.get(request);
    const stale = round === undefined || round.ask.round !== options.round ||
      round.scheduler !== from;
    // An answer that comes twice is the answer to an ask that was sent twice.
    if (!stale && round.state === "placed") return;
    if (!stale) return this.#settle(board, ctx, round, answer);
    if (answer.type === "granted") {
      this.#mail.update(board, ctx, from, {
        request,
        round: options.round,
        state: "withdrawn",
      });
    }
  }

  #settle(
    board: Blackboard,
    ctx: StepContext,
    round: Round,
    answer: Answer,
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
      return this.#ask(board, ctx, toAsk(board, entry, req));
    }
    if (round.state !== "placed") this.#await(board, ctx, round);
  }

  #placeCall(board: Blackboard, ctx: StepContext, entry: RequestEntry): void {
    const { req } = entry;
    const placed = board.placement.placed.get(req.id);
    if (req.kind !== "call" || placed?.round === entry.round) return;
    board.placement.placed.set(req.id, placeCall(board, entry, req));
    ctx.repeat();
  }

  #ask(board: Blackboard, ctx: StepContext, ask: Ask): void {
    const { scheduler } = board.members;
    const round: Round = {
      ask,
      scheduler,
      state: "asked",
      askedAt: ctx.now,
    };
    this.#rounds.set(ask.request, round);
    if (this.#sendAsk(board, ctx, round)) return;
    this.#askHere(board, ctx, round);
  }

  #askHere(board: Blackboard, ctx: StepContext, round: Round): void {
    round.scheduler = board.self.id;
    round.askedAt = ctx.now;
    ctx.counters.add("placements_local");
    const ask = withSuspicion(board, round.ask);
    this.#settle(board, ctx, round, this.#answer(board, ask, ctx.now));
  }

  /** Sends an ask to the scheduling daemon; false if that is this one or is not known. */
  #sendAsk(board: Blackboard, ctx: StepContext, round: Round): boolean {
    const { scheduler } = board.members;
    const sent = scheduler !== board.self.id &&
      this.#mail.send(board, ctx, scheduler, {
        $case: "placeAsk",
        value: toPlaceAsk(round.ask, ctx.now),
      });
    if (!sent) return false;
    round.scheduler = scheduler;
    round.askedAt = ctx.now;
    ctx.wakeAt(addMs(ctx.now, ASK_SILENCE_MS));
    return true;
  }

  /** Asks again where the answer is overdue: a silent scheduling daemon is done without. */
  #await(board: Blackboard, ctx: StepContext, round: Round): void {
    const timeoutMs = round.state === "asked" ? ASK_SILENCE_MS : ASK_AGAIN_MS;
    const dueAt = addMs(round.askedAt, timeoutMs);
    if (ctx.now < dueAt) return ctx.wakeAt(dueAt);
    if (round.state === "asked") return this.#askHere(board, ctx, round);
    const wasHere = round.scheduler === board.self.id;
    if (wasHere) return this.#askHere(board, ctx, round);
    round.state = "asked";
    if (!this.#sendAsk(board, ctx, round)) this.#askHere(board, ctx, round);
  }

  #losePeer(board: Blackboard, ctx: StepContext, address: string): void {
    const peer = [...board.members.peers.values()]
      .find((one) => one.peerAddress === address)?.id;
    if (peer === undefined) return;
    this.#scheduler.dropAsker(peer);
    for (const round of this.#rounds.values()) {
      if (round.scheduler !== peer || round.state === "placed") continue;
      this.#askHere(board, ctx, round);
    }
  }

  #dispatch(board: Blackboard, ctx: StepContext): void {
    for (const { ask, answer } of this.#scheduler.dispatch(ctx.now)) {
      this.#reply(board, ctx, ask, answer);
    }
    if (this.#scheduler.queued > 0) ctx.wakeAt(addMs(ctx.now, DISPATCH_MS));
  }

  #reply(
    board: Blackboard,
    ctx: StepContext,
    ask: Ask,
    answer: Answer,
  ): void {
    if (ask.from === board.self.id) {
      const round = this.#rounds.get(ask.request);
      if (round !== undefined) this.#settle(board, ctx, round, answer);
      return;
    }
    this.#mail.answer(board, ctx, { ask, answer });
  }

  /** Forgets requests that are over, and says so where a place is held for them. */
  #dropEnded(board: Blackboard, ctx: StepContext): void {
    for (const request of this.#rounds.keys()) {
      if (board.requests.byId.has(request)) continue;
      this.#tell(board, ctx, { request, state: "withdrawn" });
      this.#rounds.delete(request);
    }
    for (const request of board.placement.placed.keys()) {
      if (board.requests.byId.get(request)?.state !== "placing") {
        board.placement.placed.delete(request);
      }
    }
  }

  #dropLostAskers(board: Blackboard, ctx: StepContext): void {
    const live = livePeers(board, ctx.now).map((peer) => peer.id);
    const names = live.join();
    if (names === this.#live) return;
    this.#live = names;
    this.#scheduler.keepAskers(new Set([board.self.id, ...live]), ctx.now);
  }

  #tell(
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
    this.#mail.update(board, ctx, round.scheduler, {
      request,
      round: round.ask.round,
      state,
      suspect,
    });
  }
}
