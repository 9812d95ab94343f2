import { err } from "neverthrow";
import type { UpstreamId, VmId } from "../../core/id.ts";
import { problem } from "../../core/problem.ts";
import type { Millis, Timestamp } from "../../core/time.ts";
import type { JobId, PoolAsk } from "../../scheduling/pool/pool_job.ts";
import type { PoolDecision } from "../../scheduling/pool/pool_scheduler.ts";
import { openTo, reopensInMs } from "../upstreams/availability.ts";
import { PlaceRequestClient } from "./place_request_client.ts";
import { EngineInspector } from "../upstreams/engine_inspector.ts";
import type { GatewayBoard } from "../gateway_board.ts";
import { GatewayController, type GatewayStep } from "../gateway_controller.ts";
import type { GatewayEvent } from "../gateway_event.ts";
import { headsOf, leadsMost, liveMs } from "../members/membership.ts";
import type { PeerMessage } from "../peers/peer_message.ts";

/** Stands for the upstream of a request that had no place yet. */
const NO_UPSTREAM = "-" as UpstreamId;

/** Shortest Retry-After of a refusal; a client can't be back sooner. */
const MIN_RETRY_AFTER_MS: Millis = 50;

/** Where the decision on a job goes: to a peer address, or nowhere else. */
type ReplyTo = string | undefined;

/** Gets a place for each request: from the daemon that places for all or, while that is silent, by itself. */
export class PlacementController extends GatewayController {
  readonly #requests = PlaceRequestClient.create();
  readonly #inspector = EngineInspector.create();
  /** Where the decisions on jobs that wait for engines go. */
  readonly #replyTo = new Map<JobId, ReplyTo>();
  /** VMs whose jobs are counted here, and when they last listed them. */
  readonly #reporters = new Map<VmId, Timestamp>();

  static create(): PlacementController {
    return new PlacementController();
  }

  override step(board: GatewayBoard, step: GatewayStep): void {
    for (const event of step.events) this.#take(board, step, event);
    this.#followRegister(board);
    for (const ask of this.#requests.pursue(board, step)) {
      this.#submit(board, step, ask, undefined);
    }
    this.#forgetSilent(board, step);
    this.#inspector.step(board, step);
    this.#decide(board, step);
  }

  #followRegister(board: GatewayBoard): void {
    const { register, pool } = board;
    const gone = register.updates.filter(({ kind }) =>
      kind === "gone" || kind === "restarted"
    );
    if (gone.length === 0) return;
    const ids = register.table.all().map((one) => one.id);
    const listed = new Set(ids);
    pool.scheduler.accounts.retain(listed);
    pool.scheduler.slowWatch.retain(listed);
  }

  #take(board: GatewayBoard, step: GatewayStep, event: GatewayEvent): void {
    if (event.type === "place") this.#ask(board, step, event.ask);
    if (event.type === "withdraw") this.#withdraw(board, step, event.job);
    if (event.type === "job") {
      this.#progress(board, step, event);
      this.#tellHeads(board, step, { ...event, type: "progress" });
    }
    if (event.type === "message") this.#hear(board, step, event.message);
  }

  #ask(board: GatewayBoard, step: GatewayStep, ask: PoolAsk): void {
    const sent = this.#requests.ask(board, step, ask);
    if (!sent) this.#submit(board, step, ask, undefined);
  }

  /** Takes an ask in; the decision goes to `replyTo`, or to the adapters of this daemon. */
  #submit(
    board: GatewayBoard,
    step: GatewayStep,
    ask: PoolAsk,
    replyTo: ReplyTo,
  ): void {
    const { serving, pool, contents } = board;
    const { suspects } = contents;
    const content = suspects.decide(ask.digest, step.now, {
      job: ask.job,
      mayTry: leadsMost(board, step.now),
    });
    if (content.type === "refuse") {
      const detail = "This content has crashed its upstreams";
      const { retryAfterMs } = content;
      const result = err(problem("quarantined", detail, { retryAfterMs }));
      this.#report(board, step, { ask, result }, replyTo);
      return;
    }
    if (content.type === "trial") {
      const crashes = suspects.crashes(ask.digest);
      step.line("content_trial", {
        req: ask.req,
        content: ask.digest,
        crashes,
      });
    }
    const pace = serving.routes?.serving.services.get(ask.service)?.pace;
    const members = openTo(board, ask, step.now);
    const reopensMs = reopensInMs(ask);
    if (members.length === 0 && reopensMs !== undefined) {
      const detail = "All upstreams have asked this daemon to wait";
      const retryAfterMs = Math.max(reopensMs, MIN_RETRY_AFTER_MS);
      const result = err(problem("no_upstream", detail, { retryAfterMs }));
      suspects.notRun(ask.digest, ask.job);
      this.#report(board, step, { ask, result }, replyTo);
      return;
    }
    const decision = pool.scheduler.submit({ ask, members, pace }, step.now);
    if (decision !== undefined) {
      if (decision.result.isErr()) suspects.notRun(ask.digest, ask.job);
      this.#report(board, step, decision, replyTo);
      return;
    }
    this.#replyTo.set(ask.job, replyTo);
    if (replyTo === undefined) return;
    const message = { type: "wait", job: ask.job } as const;
    step.emit({ type: "send", to: replyTo, message });
  }

  /** Decides on what waits for engines. */
  #decide(board: GatewayBoard, step: GatewayStep): void {
    const { pool } = board;
    const decisions = pool.scheduler.decide(
      step.now,
      (ask) => openTo(board, ask, step.now),
    );
    for (const decision of decisions) {
      const { job } = decision.ask;
      const replyTo = this.#replyTo.get(job);
      this.#replyTo.delete(job);
      this.#report(board, step, decision, replyTo);
    }
    const next = pool.scheduler.nextLook(step.now);
    if (next !== undefined) step.wake(next);
  }

  #report(
    board: GatewayBoard,
    step: GatewayStep,
    decision: PoolDecision,
    replyTo: ReplyTo,
  ): void {
    const { ask, result } = decision;
    const { register, pool, self, contents } = board;
    step.line("place", {
      req: ask.req,
      by: self.card.vm,
      for: ask.vm,
      tokens: ask.promptTokens,
      left_ms: Math.round(ask.leftMs),
      age_ms: Math.round(step.now - register.asOf),
      ...(ask.closed.length > 0 ? { closed: ask.closed.length } : {}),
      waiting: pool.scheduler.waiting,
      ...(result.isOk()
        ? {
          upstream: result.value.job.upstream,
          helpers: result.value.job.helpers.length,
          tickets: result.value.job.tickets.length,
          expect_ms: Math.round(result.value.expectMs),
        }
        : {
          refused: result.error.code,
          ...(result.error.code === "quarantined"
            ? {
              content: ask.digest,
              crashes: contents.suspects.crashes(ask.digest),
            }
            : {}),
        }),
    });
    if (result.isOk()) {
      const { job } = result.value;
      this.#tellHeads(board, step, { type: "placed", job }, ask.vm);
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

  #hear(board: GatewayBoard, step: GatewayStep, message: PeerMessage): void {
    const { scheduler } = board.pool;
    switch (message.type) {
      case "ask":
        this.#reporters.set(message.ask.vm, step.now);
        this.#submit(board, step, message.ask, message.reply);
        return;
      case "wait":
        this.#requests.mustWait(message.job, step.now);
        return;
      case "grant": {
        const { job } = message.grant;
        if (!this.#requests.answered(job.id)) {
          // The request went elsewhere or is over.
          const { id, upstream } = job;
          const known = scheduler.accounts.jobs.get(id);
          if (known === undefined) {
            this.#tellHeads(board, step, {
              type: "progress",
              job: id,
              upstream,
              phase: "ended",
            });
          }
          return;
        }
        scheduler.accounts.adoptOne({ ...job, placedAt: step.now }, step.now);
        step.emit({ type: "granted", grant: message.grant });
        return;
      }
      case "deny": {
        if (!this.#requests.answered(message.job)) return;
        const { code, detail, retryAfterMs } = message;
        step.emit({
          type: "denied",
          job: message.job,
          problem: problem(code, detail, { retryAfterMs }),
        });
        return;
      }
      case "placed":
        scheduler.accounts.adoptOne(
          { ...message.job, placedAt: step.now },
          step.now,
        );
        this.#reporters.set(message.job.vm, step.now);
        return;
      case "progress":
        this.#progress(board, step, message);
        return;
      case "heartbeat":
        if (message.from.vm === board.self.card.vm) return;
        this.#reporters.set(message.from.vm, step.now);
        scheduler.accounts.adopt(message.from.vm, message.jobs, step.now);
        return;
      default:
        return;
    }
  }

  #progress(
    board: GatewayBoard,
    step: GatewayStep,
    one: Omit<Extract<PeerMessage, { type: "progress" }>, "type">,
  ): void {
    const { scheduler } = board.pool;
    const { accounts } = scheduler;
    if (one.phase === "started") scheduler.started(one.job, step.now);
    else {
      scheduler.withdraw(one.job, step.now);
      this.#replyTo.delete(one.job);
      const load = accounts.load(one.upstream);
      if (one.phase === "failed") load.blame(step.now);
      else load.clear(step.now);
    }
  }

  #withdraw(board: GatewayBoard, step: GatewayStep, job: JobId): void {
    const asked = this.#requests.answered(job);
    this.#replyTo.delete(job);
    board.pool.scheduler.withdraw(job, step.now);
    if (!asked) return;
    this.#tellHeads(board, step, {
      type: "progress",
      job,
      upstream: NO_UPSTREAM,
      phase: "ended",
    });
  }

  /** Tells those who place, or would place next, except one that knows. */
  #tellHeads(
    board: GatewayBoard,
    step: GatewayStep,
    message: Extract<PeerMessage, { type: "progress" | "placed" }>,
    knows?: VmId,
  ): void {
    for (const vm of headsOf(board)) {
      const card = board.members.table.get(vm);
      if (card === undefined || vm === knows) continue;
      step.emit({ type: "send", to: card.peer, message });
    }
  }

  #forgetSilent(board: GatewayBoard, step: GatewayStep): void {
    for (const [vm, at] of this.#reporters) {
      if (step.now - at <= 2 * liveMs(board)) continue;
      board.pool.scheduler.forget(vm, step.now);
      this.#reporters.delete(vm);
    }
  }
}
