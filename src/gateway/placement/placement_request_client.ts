import type { VmId } from "../../core/id.ts";
import { addMs, type Millis, type Timestamp } from "../../core/time.ts";
import type {
  JobId,
  PlacementRequest,
} from "../../scheduling/pool/pool_job.ts";
import type { GatewayBoard } from "../gateway_board.ts";
import type { GatewayStep } from "../gateway_controller.ts";

/** Time until an unanswered request is resent: some round trips between domains and the recipient's processing. */
const RESEND_MS: Millis = 45;
/** Silence after which the request goes to the next daemon. */
const SILENCE_TIMEOUT_MS: Millis = 110;
/** Time until a queued request is resent, in case it or its answer was lost. */
const QUEUED_RESEND_MS: Millis = 400;
/** Time for which a daemon that left a request unanswered gets no further requests. */
export const SILENT_DAEMON_BACKOFF_MS: Millis = 800;

/** Age of a request from which on its grant counts as late. */
const MAX_GRANT_AGE_MS: Millis = 1_000;

type PendingRequest = {
  readonly ask: PlacementRequest;
  /** When the request was last sent. */
  sentAt: Timestamp;
  /** The daemon that the request was last sent to. */
  recipient: VmId;
  /** Start of the recipient's silence; in the future while no answer is expected. */
  silentSince: Timestamp;
  resendAt: Timestamp;
};

/** Sends placement requests to the leader, and to the deputy while the leader is silent. */
export class PlacementRequestClient {
  readonly #pending = new Map<JobId, PendingRequest>();
  /** Daemons that left a request unanswered, with the end of their back-off. */
  readonly #backoffUntil = new Map<VmId, Timestamp>();
  #resumedAt = -Infinity as Timestamp;

  static create(): PlacementRequestClient {
    return new PlacementRequestClient();
  }

  /** Sends a request; returns false if this daemon has to place it itself. */
  send(board: GatewayBoard, step: GatewayStep, ask: PlacementRequest): boolean {
    const to = this.#choosePlacer(board, step.now);
    if (to === undefined) return false;
    this.#sendTo(board, step, ask, to);
    const pending = {
      ask,
      sentAt: step.now,
      recipient: to,
      silentSince: step.now,
      resendAt: addMs(step.now, RESEND_MS),
    };
    this.#pending.set(ask.job, pending);
    step.wake(pending.resendAt);
    return true;
  }

  /** Resends unanswered requests; returns the requests that this daemon has to place itself. */
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

  /** Records that the process was suspended until now. */
  recordResume(now: Timestamp): void {
    this.#resumedAt = now;
  }

  /** Whether a grant for a pending request may have waited for this process, rather than for its placer. */
  isStale(job: JobId, now: Timestamp): boolean {
    const sentAt = this.#pending.get(job)?.sentAt ?? now;
    return sentAt < this.#resumedAt || now - sentAt > MAX_GRANT_AGE_MS;
  }

  /** Closes a request that was answered or withdrawn; returns false if it is not pending. */
  close(job: JobId): boolean {
    return this.#pending.delete(job);
  }

  /** Defers the resend of a request that the recipient has queued. */
  deferResend(job: JobId, now: Timestamp): void {
    const pending = this.#pending.get(job);
    if (pending === undefined) return;
    pending.resendAt = addMs(now, QUEUED_RESEND_MS);
    pending.silentSince = pending.resendAt;
  }

  /** Whether the request's recipient is still the daemon that places; starts its back-off if it is silent. */
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
      pending.sentAt = step.now;
      if (pending.silentSince > step.now) pending.silentSince = step.now;
      pending.resendAt = addMs(step.now, RESEND_MS);
    }
    step.wake(
      Math.min(pending.resendAt, pending.silentSince + SILENCE_TIMEOUT_MS),
    );
  }

  /** The leader, or the deputy while the leader is silent; undefined if this daemon places itself. */
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
    step.emit({ type: "send", to: card.peer, message });
  }
}
