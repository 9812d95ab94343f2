import { problem } from "../core/problem.ts";
import { addMs, type Millis, type Timestamp } from "../core/time.ts";
import type { VmId } from "../core/id.ts";
import type { JobId, PoolAsk } from "../scheduling/pool/pool_job.ts";
import type { GatewayBoard } from "./gateway_board.ts";
import { GatewayController, type GatewayStep } from "./gateway_controller.ts";
import type { GatewayEvent } from "./gateway_event.ts";
import { liveMs } from "./members_controller.ts";
import type { PeerMessage } from "./peer_message.ts";

/** Time until an ask is sent once more: some round trips between domains, and the answerer's turn. */
const RESEND_MS: Millis = 45;
/** Time until a daemon places by itself. */
const GIVE_UP_MS: Millis = 110;
/** How long a leader that left an ask unanswered is not asked again. */
const DISTRUST_MS: Millis = 800;
/** Crashes of upstreams after which the content is refused. */
const MAX_CRASHES = 2;
/** Contents that are remembered for crashes. */
const MAX_SUSPECTS = 256;

type Waiting = {
  readonly ask: PoolAsk;
  readonly since: Timestamp;
  resendAt: Timestamp;
};

/** Gets a place for each request: from the daemon that places for all or, while that is silent, by itself. */
export class PlacementController extends GatewayController {
  readonly #waiting = new Map<JobId, Waiting>();
  /** VMs whose jobs are counted here, and when they last listed them. */
  readonly #reporters = new Map<VmId, Timestamp>();
  #distrustUntil = 0 as Timestamp;
  #led = false;

  static create(): PlacementController {
    return new PlacementController();
  }

  override step(board: GatewayBoard, step: GatewayStep): void {
    this.#followLeader(board, step);
    for (const event of step.events) this.#take(board, step, event);
    for (const [job, waiting] of this.#waiting) {
      this.#pursue(board, step, job, waiting);
    }
    this.#forgetSilent(board, step);
  }

  #take(board: GatewayBoard, step: GatewayStep, event: GatewayEvent): void {
    const { scheduler } = board.pool;
    if (event.type === "place") this.#ask(board, step, event.ask);
    if (event.type === "withdraw") this.#withdraw(board, step, event.job);
    if (event.type === "job") {
      this.#progress(board, step, event);
      this.#tellLeader(board, step, { ...event, type: "progress" });
    }
    if (event.type === "register_read") {
      const ids = board.register.table.all().map((one) => one.id);
      scheduler.retain(new Set(ids));
    }
    if (event.type === "message") this.#hear(board, step, event.message);
  }

  #ask(board: GatewayBoard, step: GatewayStep, ask: PoolAsk): void {
    const leads = board.members.leader === board.self.card.vm;
    if (leads || step.now < this.#distrustUntil) {
      this.#placeHere(board, step, ask);
      return;
    }
    this.#send(board, step, ask);
    const resendAt = addMs(step.now, RESEND_MS);
    this.#waiting.set(ask.job, { ask, since: step.now, resendAt });
  }

  #pursue(
    board: GatewayBoard,
    step: GatewayStep,
    job: JobId,
    waiting: Waiting,
  ): void {
    const { members, self } = board;
    const giveUpAt = addMs(waiting.since, GIVE_UP_MS);
    if (members.leader === self.card.vm || step.now >= giveUpAt) {
      this.#waiting.delete(job);
      if (members.leader !== self.card.vm) {
        this.#distrustUntil = addMs(step.now, DISTRUST_MS);
        step.line("leader_silent", {
          leader: members.leader,
          req: waiting.ask.req,
          waited_ms: Math.round(step.now - waiting.since),
        });
      }
      this.#placeHere(board, step, waiting.ask);
      return;
    }
    if (step.now >= waiting.resendAt) {
      this.#send(board, step, waiting.ask);
      waiting.resendAt = giveUpAt;
    }
    step.wake(waiting.resendAt);
  }

  #send(board: GatewayBoard, step: GatewayStep, ask: PoolAsk): void {
    const leader = board.members.table.get(board.members.leader);
    if (leader === undefined) return;
    const reply = board.self.card.peer;
    const message = { type: "ask", ask, reply } as const;
    step.want({ type: "send", to: leader.peer, message });
  }

  #placeHere(board: GatewayBoard, step: GatewayStep, ask: PoolAsk): void {
    const result = this.#place(board, step, ask);
    if (result.isOk()) {
      step.want({ type: "granted", grant: result.value });
    } else {
      step.want({ type: "denied", job: ask.job, problem: result.error });
    }
  }

  #place(board: GatewayBoard, step: GatewayStep, ask: PoolAsk) {
    const { serving, register, pool } = board;
    const service = serving.routes?.serving.services.get(ask.service);
    const members = register.table.open(ask.service);
    const crashed = (pool.crashes.get(ask.digest) ?? 0) >= MAX_CRASHES;
    const result = pool.scheduler.place(
      { ask, members: crashed ? [] : members, pace: service?.pace },
      step.now,
    ).mapErr((refusal) =>
      crashed
        ? problem("quarantined", "This content has crashed its upstreams")
        : refusal
    );
    step.line("place", {
      req: ask.req,
      by: board.self.card.vm,
      for: ask.vm,
      tokens: ask.promptTokens,
      left_ms: Math.round(ask.leftMs),
      members: members.length,
      age_ms: Math.round(step.now - register.asOf),
      ...(result.isOk()
        ? {
          upstream: result.value.job.upstream,
          helpers: result.value.job.helpers.length,
          tickets: result.value.job.tickets.length,
          expect_ms: Math.round(result.value.expectMs),
        }
        : { refused: result.error.code }),
    });
    return result;
  }

  #hear(board: GatewayBoard, step: GatewayStep, message: PeerMessage): void {
    const { scheduler } = board.pool;
    switch (message.type) {
      case "ask": {
        const result = this.#place(board, step, message.ask);
        step.want({
          type: "send",
          to: message.reply,
          message: result.isOk()
            ? { type: "grant", grant: result.value }
            : { type: "deny", job: message.ask.job, ...result.error },
        });
        this.#reporters.set(message.ask.vm, step.now);
        return;
      }
      case "grant": {
        const { job } = message.grant;
        if (!this.#waiting.delete(job.id)) {
          // The request went elsewhere or is over.
          const { id, upstream } = job;
          const known = scheduler.jobs.get(id);
          if (known === undefined) {
            this.#tellLeader(board, step, {
              type: "progress",
              job: id,
              upstream,
              phase: "ended",
            });
          }
          return;
        }
        scheduler.adoptOne({ ...job, placedAt: step.now }, step.now);
        step.want({ type: "granted", grant: message.grant });
        return;
      }
      case "deny": {
        if (!this.#waiting.delete(message.job)) return;
        const { code, detail, retryAfterMs } = message;
        step.want({
          type: "denied",
          job: message.job,
          problem: problem(code, detail, { retryAfterMs }),
        });
        return;
      }
      case "progress":
        this.#progress(board, step, message);
        return;
      case "beat":
        if (message.from.vm === board.self.card.vm) return;
        this.#reporters.set(message.from.vm, step.now);
        scheduler.adopt(message.from.vm, message.jobs, step.now);
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
    const { scheduler, crashes } = board.pool;
    if (one.phase === "started") scheduler.started(one.job, step.now);
    else scheduler.ended(one.job, step.now);
    if (one.phase === "failed") scheduler.blame(one.upstream, step.now);
    if (one.phase === "ended") scheduler.clear(one.upstream, step.now);
    if (one.crashed === undefined) return;
    if (crashes.size >= MAX_SUSPECTS) crashes.delete([...crashes.keys()][0]!);
    crashes.set(one.crashed, (crashes.get(one.crashed) ?? 0) + 1);
  }

  #withdraw(board: GatewayBoard, step: GatewayStep, job: JobId): void {
    if (this.#waiting.delete(job)) return;
    board.pool.scheduler.ended(job, step.now);
  }

  #tellLeader(
    board: GatewayBoard,
    step: GatewayStep,
    message: Extract<PeerMessage, { type: "progress" }>,
  ): void {
    const { members, self } = board;
    const leader = members.table.get(members.leader);
    if (leader === undefined || leader.vm === self.card.vm) return;
    step.want({ type: "send", to: leader.peer, message });
  }

  /** A daemon that no longer places for all forgets what others run. */
  #followLeader(board: GatewayBoard, step: GatewayStep): void {
    const leads = board.members.leader === board.self.card.vm;
    if (this.#led && !leads) {
      for (const vm of this.#reporters.keys()) {
        board.pool.scheduler.forget(vm, step.now);
      }
      this.#reporters.clear();
    }
    this.#led = leads;
  }

  #forgetSilent(board: GatewayBoard, step: GatewayStep): void {
    for (const [vm, at] of this.#reporters) {
      if (step.now - at <= 2 * liveMs(board)) continue;
      board.pool.scheduler.forget(vm, step.now);
      this.#reporters.delete(vm);
    }
  }
}
