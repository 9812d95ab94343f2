import type { VmId } from "../../core/id.ts";
import { addMs, type Millis, type Timestamp } from "../../core/time.ts";
import type {
  JobId,
  PlacementRequest,
} from "../../scheduling/pool/pool_job.ts";
import type { GatewayBoard } from "../gateway_board.ts";
import type { GatewayStep } from "../gateway_controller.ts";

/** Time until an ask is sent once more: some round trips between domains, and the answerer's turn. */
const RESEND_MS: Millis = 45;
/** Silence after which the next daemon is asked. */
const SILENCE_TIMEOUT_MS: Millis = 110;
/** Time until an ask that waits for engines is repeated, in case it was lost meanwhile. */
const QUEUED_RESEND_MS: Millis = 400;
/** How long a daemon that left an ask unanswered is not asked again. */
const SILENT_DAEMON_BACKOFF_MS: Millis = 800;

type PendingRequest = {
  readonly ask: PlacementRequest;
  /** Who was asked. */
  recipient: VmId;
  /** Since when it has not answered. */
  silentSince: Timestamp;
  resendAt: Timestamp;
};

/** Takes asks to the daemon that places, and to the next one while that is silent. */
export class PlacementRequestClient {
  readonly #pending = new Map<JobId, PendingRequest>();
  /** Daemons that left an ask unanswered, and until when they are not asked. */
  readonly #backoffUntil = new Map<VmId, Timestamp>();

  static create(): PlacementRequestClient {
    return new PlacementRequestClient();
  }

  /** Sends an ask; false where this daemon has to place by itself. */
  send(board: GatewayBoard, step: GatewayStep, ask: PlacementRequest): boolean {
    const to = this.#choosePlacer(board, step.now);
    if (to === undefined) return false;
    this.#sendTo(board, step, ask, to);
    const pending = {
      ask,
      recipient: to,
      silentSince: step.now,
      resendAt: addMs(step.now, RESEND_MS),
    };
    this.#pending.set(ask.job, pending);
    step.wake(pending.resendAt);
    return true;
  }

  /** Repeats what was not answered; returns the asks that this daemon has to place by itself. */
  resendPending(
    board: GatewayBoard,
    step: GatewayStep,
  ): readonly PlacementRequest[] {
    const unsent: PlacementRequest[] = [];
    for (const [job, pending] of [...this.#pending]) {
      if (this.#isStillRecipient(board, step, pending)) {
        this.#resendIfDue(board, step, pending);
        continue;
      }
      this.#pending.delete(job);
      if (!this.send(board, step, pending.ask)) unsent.push(pending.ask);
    }
    return unsent;
  }

  /** Notes that an ask was answered or withdrawn; false if none is open. */
  close(job: JobId): boolean {
    return this.#pending.delete(job);
  }

  /** Notes that the answer to an ask will come later. */
  deferResend(job: JobId, now: Timestamp): void {
    const pending = this.#pending.get(job);
    if (pending === undefined) return;
    pending.resendAt = addMs(now, QUEUED_RESEND_MS);
    pending.silentSince = pending.resendAt;
  }

  /** Whether the one that was asked is still the one to ask. */
  #isStillRecipient(
    board: GatewayBoard,
    step: GatewayStep,
    pending: PendingRequest,
  ): boolean {
    const silentMs = step.now - pending.silentSince;
    if (silentMs >= SILENCE_TIMEOUT_MS) {
      this.#backoffUntil.set(
        pending.recipient,
        addMs(step.now, SILENT_DAEMON_BACKOFF_MS),
      );
      step.line("leader_silent", {
        asked: pending.recipient,
        req: pending.ask.req,
        silent_ms: Math.round(silentMs),
      });
    }
    return this.#choosePlacer(board, step.now) === pending.recipient;
  }

  #resendIfDue(
    board: GatewayBoard,
    step: GatewayStep,
    pending: PendingRequest,
  ): void {
    if (step.now >= pending.resendAt) {
      this.#sendTo(board, step, pending.ask, pending.recipient);
      if (pending.silentSince > step.now) pending.silentSince = step.now;
      pending.resendAt = addMs(step.now, RESEND_MS);
    }
    step.wake(
      Math.min(pending.resendAt, pending.silentSince + SILENCE_TIMEOUT_MS),
    );
  }

  /** Who places: the leader, or the deputy while the leader is silent, or else this daemon. */
  #choosePlacer(board: GatewayBoard, now: Timestamp): VmId | undefined {
    const { members, self } = board;
    for (const vm of [members.leader, members.deputy]) {
      if (vm === undefined || vm === self.card.vm) return undefined;
      if ((this.#backoffUntil.get(vm) ?? 0) <= now) return vm;
    }
    return undefined;
  }

  #sendTo(
    board: GatewayBoard,
    step: GatewayStep,
    ask: PlacementRequest,
    to: VmId,
  ): void {
    const card = board.members.table.get(to);
    if (card === undefined) return;
    const reply = board.self.card.peer;
    const message = { type: "ask", ask, reply } as const;
    step.want({ type: "send", to: card.peer, message });
  }
}
