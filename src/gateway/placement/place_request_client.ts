import type { VmId } from "../../core/id.ts";
import { addMs, type Millis, type Timestamp } from "../../core/time.ts";
import type { JobId, PoolAsk } from "../../scheduling/pool/pool_job.ts";
import type { GatewayBoard } from "../gateway_board.ts";
import type { GatewayStep } from "../gateway_controller.ts";

/** Time until an ask is sent once more: some round trips between domains, and the answerer's turn. */
const RESEND_MS: Millis = 45;
/** Silence after which the next daemon is asked. */
const GIVE_UP_MS: Millis = 110;
/** Time until an ask that waits for engines is repeated, in case it was lost meanwhile. */
const ASK_AGAIN_MS: Millis = 400;
/** How long a daemon that left an ask unanswered is not asked again. */
const DISTRUST_MS: Millis = 800;

type Waiting = {
  readonly ask: PoolAsk;
  /** Who was asked. */
  asked: VmId;
  /** Since when it has not answered. */
  silentSince: Timestamp;
  resendAt: Timestamp;
};

/** Takes asks to the daemon that places, and to the next one while that is silent. */
export class PlaceRequestClient {
  readonly #waiting = new Map<JobId, Waiting>();
  /** Daemons that left an ask unanswered, and until when they are not asked. */
  readonly #distrust = new Map<VmId, Timestamp>();

  static create(): PlaceRequestClient {
    return new PlaceRequestClient();
  }

  /** Sends an ask; false where this daemon has to place by itself. */
  ask(board: GatewayBoard, step: GatewayStep, ask: PoolAsk): boolean {
    const to = this.#whom(board, step.now);
    if (to === undefined) return false;
    this.#send(board, step, ask, to);
    const waiting = {
      ask,
      asked: to,
      silentSince: step.now,
      resendAt: addMs(step.now, RESEND_MS),
    };
    this.#waiting.set(ask.job, waiting);
    step.wake(waiting.resendAt);
    return true;
  }

  /** Repeats what was not answered; returns the asks that this daemon has to place by itself. */
  pursue(board: GatewayBoard, step: GatewayStep): readonly PoolAsk[] {
    const own: PoolAsk[] = [];
    for (const [job, waiting] of [...this.#waiting]) {
      if (this.#isAnswerer(board, step, waiting)) {
        this.#repeat(board, step, waiting);
        continue;
      }
      this.#waiting.delete(job);
      if (!this.ask(board, step, waiting.ask)) own.push(waiting.ask);
    }
    return own;
  }

  /** Notes that an ask was answered or withdrawn; false if none is open. */
  answered(job: JobId): boolean {
    return this.#waiting.delete(job);
  }

  /** Notes that the answer to an ask will come later. */
  mustWait(job: JobId, now: Timestamp): void {
    const waiting = this.#waiting.get(job);
    if (waiting === undefined) return;
    waiting.resendAt = addMs(now, ASK_AGAIN_MS);
    waiting.silentSince = waiting.resendAt;
  }

  /** Whether the one that was asked is still the one to ask. */
  #isAnswerer(
    board: GatewayBoard,
    step: GatewayStep,
    waiting: Waiting,
  ): boolean {
    const silentMs = step.now - waiting.silentSince;
    if (silentMs >= GIVE_UP_MS) {
      this.#distrust.set(waiting.asked, addMs(step.now, DISTRUST_MS));
      step.line("leader_silent", {
        asked: waiting.asked,
        req: waiting.ask.req,
        silent_ms: Math.round(silentMs),
      });
    }
    return this.#whom(board, step.now) === waiting.asked;
  }

  #repeat(board: GatewayBoard, step: GatewayStep, waiting: Waiting): void {
    if (step.now >= waiting.resendAt) {
      this.#send(board, step, waiting.ask, waiting.asked);
      if (waiting.silentSince > step.now) waiting.silentSince = step.now;
      waiting.resendAt = addMs(step.now, RESEND_MS);
    }
    step.wake(Math.min(waiting.resendAt, waiting.silentSince + GIVE_UP_MS));
  }

  /** Who places: the leader, or the deputy while the leader is silent, or else this daemon. */
  #whom(board: GatewayBoard, now: Timestamp): VmId | undefined {
    const { members, self } = board;
    for (const vm of [members.leader, members.deputy]) {
      if (vm === undefined || vm === self.card.vm) return undefined;
      if ((this.#distrust.get(vm) ?? 0) <= now) return vm;
    }
    return undefined;
  }

  #send(
    board: GatewayBoard,
    step: GatewayStep,
    ask: PoolAsk,
    to: VmId,
  ): void {
    const card = board.members.table.get(to);
    if (card === undefined) return;
    const reply = board.self.card.peer;
    const message = { type: "ask", ask, reply } as const;
    step.emit({ type: "send", to: card.peer, message });
  }
}
