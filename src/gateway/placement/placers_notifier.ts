import type { JobId, PoolJob } from "../../scheduling/pool/pool_job.ts";
import type { VmId } from "../../core/id.ts";
import type { Millis, Timestamp } from "../../core/time.ts";
import type { GatewayBoard } from "../gateway_board.ts";
import type { GatewayStep } from "../gateway_controller.ts";
import { otherPlacers } from "../members/membership.ts";
import type { PeerMessage } from "../peers/peer_message.ts";
import { type PlacedBatch, PlacedNotices } from "./placed_notices.ts";

/** Time for which a daemon that placed a request may place more. */
const RIVAL_TTL_MS: Millis = 5_000;

/** Tells the other daemons that place of what this one has placed, and of how its own jobs go on. */
export class PlacersNotifier {
  readonly #placed = PlacedNotices.create();
  /** When each daemon last reported that it placed a request. */
  readonly #lastPlacedAt = new Map<VmId, Timestamp>();

  static create(): PlacersNotifier {
    return new PlacersNotifier();
  }

  /** Records that another daemon has placed a request. */
  rivalPlaced(vm: VmId, now: Timestamp): void {
    this.#lastPlacedAt.set(vm, now);
  }

  /**
   * Forwards a placement to the leader and the deputy, unless they asked for it. What counts against a limited rate goes
   * to all that place, and at once.
   */
  placed(board: GatewayBoard, step: GatewayStep, job: PoolJob): void {
    const counts = board.pool.scheduler.rates.has(job.upstream);
    const rivals = counts ? this.#rivals(board, step.now) : [];
    for (const vm of [...otherPlacers(board), ...rivals]) {
      if (vm === job.vm) continue;
      if (counts) this.#sendJobs(board, step, { to: vm, jobs: [job] });
      else this.#placed.add(vm, job, step.now);
    }
  }

  /** Records that a job has ended, whose placement needs no notice any more. */
  ended(job: JobId): void {
    this.#placed.drop(job);
  }

  /** Sends the placements that are due. */
  sendDue(board: GatewayBoard, step: GatewayStep): void {
    for (const batch of this.#placed.takeDue(step.now)) {
      this.#sendJobs(board, step, batch);
    }
    if (this.#placed.dueAt !== undefined) step.wake(this.#placed.dueAt);
  }

  /** Sends the progress of a job to the leader and the deputy. */
  progress(
    board: GatewayBoard,
    step: GatewayStep,
    message: Extract<PeerMessage, { type: "progress" }>,
  ): void {
    for (const vm of otherPlacers(board)) {
      const card = board.members.table.get(vm);
      if (card === undefined) continue;
      step.emit({ type: "send", to: card.peer, message });
    }
  }

  /** Other daemons that placed recently, though they are neither the leader nor the deputy to this one. */
  #rivals(board: GatewayBoard, now: Timestamp): readonly VmId[] {
    const rivals: VmId[] = [];
    for (const [vm, at] of this.#lastPlacedAt) {
      if (now - at > RIVAL_TTL_MS) this.#lastPlacedAt.delete(vm);
      else if (!otherPlacers(board).includes(vm)) rivals.push(vm);
    }
    return rivals;
  }

  #sendJobs(
    board: GatewayBoard,
    step: GatewayStep,
    { to, jobs: [job, ...more] }: PlacedBatch,
  ): void {
    const card = board.members.table.get(to);
    if (card === undefined || job === undefined) return;
    const by = board.self.card.vm;
    const message = {
      type: "placed",
      job,
      ...(more.length > 0 ? { more } : {}),
      by,
    } as const;
    step.emit({ type: "send", to: card.peer, message });
  }
}
