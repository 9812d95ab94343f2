import { err, ok, type Result } from "neverthrow";
import { type Problem, problem } from "../../core/problem.ts";
import type { Millis, Timestamp } from "../../core/time.ts";
import type { PoolMember } from "../../scheduling/pool/pool_grant.ts";
import type {
  JobId,
  PlacementRequest,
} from "../../scheduling/pool/pool_job.ts";
import { type SoloPeer, SoloRoom } from "../../scheduling/pool/solo_room.ts";
import type { GatewayBoard } from "../gateway_board.ts";
import type { GatewayStep } from "../gateway_controller.ts";
import { livenessTimeoutMs } from "../members/membership.ts";
import { SILENT_DAEMON_BACKOFF_MS } from "./placement_request_client.ts";

/** Time after it was last live in which a daemon may still place requests, here unseen. */
const UNSEEN_DAEMON_MS: Millis = 60_000;

/** Bounds what a VM places while neither leader nor deputy answers, or while it is cut off from all other daemons. */
export class SoloPlacement {
  readonly #room = SoloRoom.create();
  #isAlone = false;

  static create(): SoloPlacement {
    return new SoloPlacement();
  }

  /**
   * The upstreams for an own request that isn't sent to another daemon: all of them for a daemon that places for others
   * or mirrors the one that does, a part for one that is alone. Fails if that part is full.
   */
  select<T extends PoolMember>(
    board: GatewayBoard,
    step: GatewayStep,
    request: Readonly<{ ask: PlacementRequest; members: readonly T[] }>,
  ): Result<readonly T[], Problem> {
    const { ask, members } = request;
    const isPlaced = board.pool.scheduler.tracker.jobs.has(ask.job);
    const daemons = daemonsOf(board, step.now);
    this.#setAlone(board, step, isAlone(board, step.now, daemons));
    const isFree = !this.#isAlone || isPlaced || members.length === 0;
    if (isFree) return ok(members);
    const chosen = this.#room.select(ask, members, {
      daemons,
      openJobs: openJobs(board, ask),
    });
    if (chosen.length > 0) return ok(chosen);
    return err(problem(
      "no_upstream",
      "This daemon places alone, and its part of the upstreams is full",
      { retryAfterMs: SILENT_DAEMON_BACKOFF_MS },
    ));
  }

  /** The upstreams for an own request that waits. */
  part<T extends PoolMember>(
    board: GatewayBoard,
    now: Timestamp,
    request: Readonly<{ ask: PlacementRequest; members: readonly T[] }>,
  ): readonly T[] {
    const { ask, members } = request;
    if (!this.#isAlone || members.length === 0) return members;
    const daemons = daemonsOf(board, now);
    return this.#room.select(ask, members, { daemons, openJobs: 0 });
  }

  placed(ask: PlacementRequest, now: Timestamp): void {
    if (this.#isAlone) this.#room.placed(ask, now);
  }

  answered(job: JobId, now: Timestamp, result: "ok" | "failed"): void {
    if (this.#isAlone) this.#room.answered(job, now, result);
  }

  /** Records that another daemon has placed a request of this one. */
  heard(step: GatewayStep): void {
    if (this.#isAlone) step.line("places_alone", { alone: false });
    this.#isAlone = false;
    this.#room.clear();
  }

  #setAlone(board: GatewayBoard, step: GatewayStep, alone: boolean): void {
    if (alone === this.#isAlone) return;
    this.#isAlone = alone;
    this.#room.clear();
    const { leader, deputy } = board.members;
    step.line("places_alone", { alone, leader, deputy: deputy ?? "" });
  }
}

function isAlone(
  board: GatewayBoard,
  now: Timestamp,
  daemons: readonly SoloPeer[],
): boolean {
  const { members: { leader, deputy, table }, self } = board;
  if (leader !== self.card.vm) return deputy !== self.card.vm;
  const isCutOff = table.live(now, livenessTimeoutMs(board)).length === 0;
  return isCutOff && daemons.length > 1;
}

/** This daemon and all that may place requests beside it. */
function daemonsOf(
  { members, self }: GatewayBoard,
  now: Timestamp,
): readonly SoloPeer[] {
  return [self.card, ...members.table.seenWithin(now, UNSEEN_DAEMON_MS)];
}

/** Requests of this daemon for a service that have been placed and have not ended. */
function openJobs({ pool }: GatewayBoard, ask: PlacementRequest): number {
  let count = 0;
  for (const job of pool.scheduler.tracker.jobs.values()) {
    if (job.vm === ask.vm && job.service === ask.service) count += 1;
  }
  return count;
}
