import type { Blackboard } from "../board/blackboard.ts";
import type { RequestEnd, RequestEntry } from "../board/requests_section.ts";
import { admit } from "../core/admission.ts";
import { Controller } from "../core/controller.ts";
import type { Event } from "../core/event.ts";
import type { AttemptId, DaemonId, RequestId } from "../core/id.ts";
import { type Problem, problem } from "../core/problem.ts";
import type { Outcome, Placement, Request } from "../core/request.ts";
import type { Retry } from "../core/reason.ts";
import { RetryBudget } from "../core/retry_budget.ts";
import type { StepContext } from "../core/step_context.ts";
import { joinVerdicts, type Verdict } from "../core/verdict.ts";
import { admittedEntry, resumedEntry } from "./request_entries.ts";
import {
  answerProblem,
  cancelAttempt,
  finishedLogLine,
  reportTiming,
  startAttemptIntent,
} from "./request_intents.ts";
import { decideRetry } from "./retry_decision.ts";

type AttemptEvent = Extract<
  Event,
  { type: "first_token" | "attempt_progress" | "attempt_ended" }
>;

/** Outcome of a plan whose memory could not be reserved. */
const NOT_RESERVED: Outcome = {
  type: "failed",
  cause: "plan_broken",
  verdict: "not_run",
  tokens: 0,
  crashed: false,
  detail: "Engine memory for this prompt could not be reserved in time.",
};

/** Runs each request from its arrival to its single final answer. */
export class RequestController extends Controller {
  override readonly name = "requests";
  #budget: RetryBudget | undefined;

  static create(): RequestController {
    return new RequestController();
  }

  override step(board: Blackboard, ctx: StepContext): void {
    board.requests.ended = [];
    for (const event of ctx.events) this.#onEvent(board, ctx, event);
    for (const entry of board.requests.byId.values()) {
      this.#advance(board, ctx, entry);
    }
  }

  #onEvent(board: Blackboard, ctx: StepContext, event: Event): void {
    switch (event.type) {
      case "request_arrived":
        return this.#onArrived(board, ctx, event.req);
      case "request_resumed":
        return this.#onResumed(board, ctx, event);
      case "client_left":
        return this.#onClientLeft(board, ctx, event.req);
      case "forward_ended":
        return this.#onForwardEnded(board, ctx, event);
      case "first_token":
      case "attempt_progress":
      case "attempt_ended":
        return this.#onAttemptEvent(board, ctx, event);
    }
  }

  #onArrived(board: Blackboard, ctx: StepContext, req: Request): void {
    const admission = admit(board, req, ctx.now);
    if (admission.isErr()) return answerProblem(ctx, req.id, admission.error);
    const { revision } = board.config;
    const entry = admittedEntry(req, admission.value, revision);
    board.requests.byId.set(req.id, entry);
    ctx.counters.add("requests_admitted");
    ctx.repeat();
  }

  #onResumed(
    board: Blackboard,
    ctx: StepContext,
    event: Extract<Event, { type: "request_resumed" }>,
  ): void {
    const resumed = resumedEntry(board, ctx.now, event);
    if (resumed.isErr()) return answerProblem(ctx, event.req.id, resumed.error);
    const entry = resumed.value;
    board.requests.byId.set(event.req.id, entry);
    const { attempt, upstream } = event.running;
    const placement = { upstream, priority: 0 };
    ctx.emit(startAttemptIntent(entry, attempt, { placement, mode: "resume" }));
    ctx.repeat();
  }

  /** Ends a prompt whose client has left; a call continues, because its outcome must be recorded. */
  #onClientLeft(board: Blackboard, ctx: StepContext, id: RequestId): void {
    const entry = board.requests.byId.get(id);
    if (entry === undefined || entry.req.kind === "call") return;
    const verdict = entry.attempts > 0 ? "may_have_run" : "not_run";
    removeEntry(board, entry, { end: "client_left", verdict });
    ctx.counters.refuse("client_left");
    ctx.repeat();
  }

  #onAttemptEvent(
    board: Blackboard,
    ctx: StepContext,
    event: AttemptEvent,
  ): void {
    const entry = board.requests.byId.get(event.req);
    if (entry?.attempt === undefined || entry.attempt.id !== event.attempt) {
      return;
    }
    if (event.type === "attempt_ended") {
      return this.#onEnd(board, ctx, entry, event.outcome);
    }
    if (event.type === "first_token") {
      entry.attempt = { ...entry.attempt, firstTokenAt: ctx.now };
      return reportTiming(ctx, entry, "first_token_ms");
    }
    entry.tokens = event.tokens;
    entry.attempt = { ...entry.attempt, tokens: event.tokens };
  }

  #onEnd(
    board: Blackboard,
    ctx: StepContext,
    entry: RequestEntry,
    outcome: Outcome,
  ): void {
    const limits = board.config.serving?.limits;
    if (outcome.type === "ok") {
      const { tokens, answerDigest } = outcome;
      removeEntry(board, entry, {
        end: "ok",
        verdict: "ran",
        tokens,
        answerDigest,
      });
      ctx.counters.add("requests_finished");
      reportTiming(ctx, entry, "request_ms");
      ctx.emit(finishedLogLine(ctx, entry, outcome));
      this.#retryBudget(ctx).recordSuccess(limits?.retryRatio ?? 0);
      return ctx.repeat();
    }
    entry.tokens = Math.max(entry.tokens, outcome.tokens);
    entry.verdict = joinVerdicts(entry.verdict, outcome.verdict);
    const decision = decideRetry(entry, outcome, {
      board,
      budget: this.#retryBudget(ctx),
      now: ctx.now,
    });
    if (decision.type === "give_up") {
      return this.#fail(board, ctx, entry, decision.problem);
    }
    ctx.counters.retry(outcome.cause);
    if (decision.type === "reattach") {
      return this.#reattach(ctx, entry, outcome.cause);
    }
    this.#placeAgain(ctx, entry, outcome);
    ctx.repeat();
  }

  #placeAgain(
    ctx: StepContext,
    entry: RequestEntry,
    outcome: Extract<Outcome, { type: "failed" }>,
  ): void {
    // A frozen engine may still run the attempt later.
    if (entry.verdict !== "not_run") cancelAttempt(ctx, entry);
    if (entry.attempt !== undefined && outcome.cause !== "upstream_refused") {
      const upstream = outcome.upstream ?? entry.attempt.placement.upstream;
      entry.excluded = [...entry.excluded, upstream];
    }
    entry.state = "placing";
    entry.attempt = undefined;
    entry.round += 1;
  }

  /** Opens a new connection to the same running stream. */
  #reattach(ctx: StepContext, entry: RequestEntry, cause: Retry): void {
    const attempt = entry.attempt!;
    entry.reattached = true;
    entry.reattachedAfter = cause;
    ctx.emit(
      startAttemptIntent(entry, attempt.id, {
        placement: attempt.placement,
        mode: "resume",
      }),
    );
  }

  #advance(board: Blackboard, ctx: StepContext, entry: RequestEntry): void {
    if (entry.req.deadlineAt <= ctx.now) return this.#expire(board, ctx, entry);
    if (board.quarantine.quarantined.has(entry.req.digest)) {
      return this.#failQuarantined(board, ctx, entry);
    }
    ctx.wakeAt(entry.req.deadlineAt);
    if (entry.state === "claiming") this.#applyClaim(board, ctx, entry);
    if (entry.state === "placing") this.#applyPlacement(board, ctx, entry);
  }

  #applyClaim(board: Blackboard, ctx: StepContext, entry: RequestEntry): void {
    const result = board.claims.results.get(entry.req.id);
    if (result === undefined) return;
    switch (result.type) {
      case "held":
        entry.state = "placing";
        return ctx.repeat();
      case "refused":
        return this.#fail(board, ctx, entry, result.problem);
      case "forward":
        return this.#forward(board, ctx, entry, result.home);
      case "recorded":
        removeEntry(board, entry, { end: "recorded", verdict: "ran" });
        ctx.counters.add("requests_finished");
        ctx.emit({
          type: "answer_recorded",
          req: entry.req.id,
          status: result.status,
          body: result.body,
          contentType: result.contentType,
        });
        return ctx.repeat();
    }
  }

  /** Forwards a call to the daemon that issued its key, which alone may run it. */
  #forward(
    board: Blackboard,
    ctx: StepContext,
    entry: RequestEntry,
    home: DaemonId,
  ): void {
    const peer = board.members.peers.get(home);
    const { req } = entry;
    if (peer === undefined || (req.kind === "call" && req.forwarded)) {
      const detail =
        "The daemon that issued this key is not available; the call may have run.";
      return this.#fail(
        board,
        ctx,
        entry,
        problem("key_home_lost", detail, { verdict: "may_have_run" }),
      );
    }
    entry.state = "forwarded";
    ctx.emit({
      type: "forward_call",
      req: req.id,
      address: peer.peerAddress,
      deadlineAt: req.deadlineAt,
    });
  }

  #onForwardEnded(
    board: Blackboard,
    ctx: StepContext,
    event: Extract<Event, { type: "forward_ended" }>,
  ): void {
    const entry = board.requests.byId.get(event.req);
    if (entry?.state !== "forwarded") return;
    if (event.result === "failed") {
      const detail =
        "The daemon that issued this key did not answer; the call may have run.";
      return this.#fail(
        board,
        ctx,
        entry,
        problem("key_home_lost", detail, { verdict: "may_have_run" }),
      );
    }
    removeEntry(board, entry, { end: "forwarded", verdict: "may_have_run" });
    ctx.counters.add("requests_finished");
    ctx.repeat();
  }

  #applyPlacement(
    board: Blackboard,
    ctx: StepContext,
    entry: RequestEntry,
  ): void {
    const placed = board.placement.placed.get(entry.req.id);
    if (placed === undefined || placed.round !== entry.round) return;
    if (placed.type === "refused") {
      const verdict = joinVerdicts(entry.verdict, placed.problem.verdict);
      return this.#fail(board, ctx, entry, { ...placed.problem, verdict });
    }
    const { plan } = placed.placement;
    const state = plan && board.plans.byId.get(plan.id)?.state;
    if (state === "failed") return this.#onEnd(board, ctx, entry, NOT_RESERVED);
    if (plan !== undefined && state !== "held") return;
    this.#startAttempt(ctx, entry, placed.placement);
  }

  #startAttempt(
    ctx: StepContext,
    entry: RequestEntry,
    placement: Placement,
  ): void {
    const id = ctx.random.uuid(ctx.now) as AttemptId;
    entry.attempt = { id, placement, startedAt: ctx.now, tokens: entry.tokens };
    entry.attempts += 1;
    reportTiming(ctx, entry, "placing_ms");
    entry.state = "running";
    entry.reattached = false;
    ctx.emit(
      startAttemptIntent(entry, id, {
        placement,
        mode: entry.tokens > 0 ? "continue" : "fresh",
      }),
    );
    ctx.repeat();
  }

  /** Fails a request whose content was quarantined after other copies crashed engines. */
  #failQuarantined(
    board: Blackboard,
    ctx: StepContext,
    entry: RequestEntry,
  ): void {
    const detail = "Each engine that ran this content crashed.";
    const verdict = currentVerdict(entry);
    this.#fail(board, ctx, entry, problem("quarantined", detail, { verdict }));
  }

  #expire(board: Blackboard, ctx: StepContext, entry: RequestEntry): void {
    const verdict = currentVerdict(entry);
    this.#fail(
      board,
      ctx,
      entry,
      problem(
        "deadline_exceeded",
        "The request did not end within its deadline.",
        { verdict },
      ),
    );
  }

  #fail(
    board: Blackboard,
    ctx: StepContext,
    entry: RequestEntry,
    cause: Problem,
  ): void {
    cancelAttempt(ctx, entry);
    const { code, verdict } = cause;
    removeEntry(board, entry, { end: code, verdict });
    ctx.counters.add("requests_failed");
    answerProblem(ctx, entry.req.id, cause);
    ctx.repeat();
  }

  #retryBudget(ctx: StepContext): RetryBudget {
    this.#budget ??= RetryBudget.create(ctx.now);
    return this.#budget;
  }
}

function removeEntry(
  board: Blackboard,
  entry: RequestEntry,
  result: RequestEnd["result"],
): void {
  board.requests.byId.delete(entry.req.id);
  board.requests.ended.push({ entry, result });
}

/** The verdict so far, counting an attempt that may be running. */
function currentVerdict(entry: RequestEntry): Verdict {
  const isSent = entry.state === "running" || entry.state === "forwarded";
  return isSent ? joinVerdicts(entry.verdict, "may_have_run") : entry.verdict;
}
