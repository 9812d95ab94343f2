import type { Blackboard } from "../board/blackboard.ts";
import type { RequestEntry } from "../board/requests_section.ts";
import type { DaemonId, RequestId } from "../core/id.ts";
import type { PromptRequest } from "../core/request.ts";
import type { StepContext } from "../core/step_context.ts";
import { addMs, type Millis, SECOND_MS, type Timestamp } from "../core/time.ts";
import type { Suspect } from "../gen/peer.ts";
import type {
  CellPlacementRequest,
  CellPlacementResult,
} from "../scheduling/cell_placement.ts";
import type { JobEvent } from "../scheduling/cell_scheduler.ts";
import { toPlaceAsk } from "../scheduling/place_messages.ts";
import type { LocalScheduler } from "./local_scheduler.ts";
import { toAsk } from "./place_ask.ts";
import type { PlaceMessenger } from "./place_messenger.ts";

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

/** Asks for the places of this daemon's prompts, and reports their progress to the daemons that placed them. */
export class PlacementRounds {
  readonly #scheduler: LocalScheduler;
  readonly #messenger: PlaceMessenger;
  readonly #rounds = new Map<RequestId, Round>();

  private constructor(scheduler: LocalScheduler, messenger: PlaceMessenger) {
    this.#scheduler = scheduler;
    this.#messenger = messenger;
  }

  static create(
    scheduler: LocalScheduler,
    messenger: PlaceMessenger,
  ): PlacementRounds {
    return new PlacementRounds(scheduler, messenger);
  }

  /** Asks for the place of a prompt, once more where an answer is overdue. */
  place(
    board: Blackboard,
    ctx: StepContext,
    entry: RequestEntry,
    req: PromptRequest,
  ): void {
    const round = this.#rounds.get(req.id);
    if (round === undefined || round.ask.round !== entry.round) {
      return this.#startRound(board, ctx, toAsk(board, entry, req));
    }
    if (round.state !== "placed") this.#resendIfDue(board, ctx, round);
  }

  /** Places the prompts here that wait for a daemon that can't be reached. */
  bypass(board: Blackboard, ctx: StepContext, peer: DaemonId): void {
    for (const round of this.#rounds.values()) {
      if (round.scheduler !== peer || round.state === "placed") continue;
      this.#askSelf(board, ctx, round);
    }
  }

  /** Applies an answer of this daemon's own scheduler. */
  applyOwn(
    board: Blackboard,
    ctx: StepContext,
    request: RequestId,
    answer: CellPlacementResult,
  ): void {
    const round = this.#rounds.get(request);
    if (round !== undefined) this.#applyAnswer(board, ctx, round, answer);
  }

  /** Releases the places of ended requests. */
  removeEnded(board: Blackboard, ctx: StepContext): void {
    for (const request of this.#rounds.keys()) {
      if (board.requests.byId.has(request)) continue;
      this.updateJob(board, ctx, { request, state: "withdrawn" });
      this.#rounds.delete(request);
    }
  }

  /** Applies the answer of a scheduling daemon; a place that is no longer wanted is given back. */
  onAnswer(
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
    const answer = this.#scheduler.decide(board, ctx, round.ask);
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

  /** Reports the state of a placed prompt to the daemon that placed it. */
  updateJob(
    board: Blackboard,
    ctx: StepContext,
    options: Readonly<
      {
        request: RequestId;
        state: JobEvent;
        suspect?: Suspect;
        answered?: boolean;
      }
    >,
  ): void {
    const { request, ...update } = options;
    const round = this.#rounds.get(request);
    if (round === undefined) return;
    if (round.scheduler === board.self.id) {
      const { round: number } = round.ask;
      const known = { ...update, round: number, now: ctx.now };
      return this.#scheduler.update(board, request, known);
    }
    this.#messenger.sendUpdate(board, ctx, round.scheduler, {
      request,
      round: round.ask.round,
      ...update,
    });
  }
}
