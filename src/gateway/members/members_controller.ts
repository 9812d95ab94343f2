import { addMs, type Millis, type Timestamp } from "../../core/time.ts";
import { type GatewayBoard, storeProgressOf } from "../gateway_board.ts";
import { GatewayController, type GatewayStep } from "../gateway_controller.ts";
import type { VmId } from "../../core/id.ts";
import { contentSyncFor } from "../contents/content_sync.ts";
import { bestLeaders, compareLeaders } from "./member_table.ts";
import {
  heartbeatIntervalMs,
  isReady,
  livenessTimeoutMs,
  otherPlacers,
} from "./membership.ts";
import { newBookings } from "../placement/room_sync.ts";
import type { PeerCard, PeerMessage } from "../peers/peer_message.ts";
import { heartbeatReply } from "./heartbeat_reply.ts";
import { PeerDiscovery } from "./peer_discovery.ts";
import { OwnSpeed } from "./own_speed.ts";
import { Roster, type RosterPosition } from "./roster.ts";

/** Heartbeat intervals without a reply after which the leader counts as down. */
const MAX_UNANSWERED_HEARTBEATS = 2;
/** Time allowed for the reply in addition to those intervals. */
const REPLY_ALLOWANCE_MS: Millis = 250;
/** Time after a change of leader in which a daemon asks for better candidates, as daemons may start together. */
const SEEK_MS: Millis = 3_000;
/** Time between heartbeats to daemons that count as down, in turn by preference as leader. */
const PROBE_INTERVAL_MS: Millis = 2_000;

/** Discovers the other daemons, tracks which are live, and elects the leader, which places all requests. */
export class MembersController extends GatewayController {
  #nextHeartbeatAt = 0 as Timestamp;
  #nextProbeAt = 0 as Timestamp;
  /** When the leader's last reply arrived, or when it was elected. */
  #leaderSeenAt = 0 as Timestamp;
  #probeCount = 0;
  readonly #discovery = PeerDiscovery.create();
  readonly #speed = OwnSpeed.create();
  #roster: Roster | undefined;
  #rosterUpdatedAt: Timestamp | undefined;
  /** Last summary of known quarantined contents that each replying daemon sent. */
  readonly #quarantineSummaries = new Map<VmId, string>();

  static create(): MembersController {
    return new MembersController();
  }

  override step(board: GatewayBoard, step: GatewayStep): void {
    const { members } = board;
    const count = members.table.all().length + 1;
    members.heartbeatMs = heartbeatIntervalMs(count);
    for (const event of step.events) {
      if (event.type === "message") this.#onMessage(board, step, event.message);
      if (event.type === "announced") this.#contact(board, step, event.cards);
      if (event.type === "resumed") {
        this.#nextHeartbeatAt = step.now;
        step.line("resumed", { lost_ms: Math.round(event.suspendedMs) });
      }
      if (event.type === "timed") this.#speed.addSample(event.ms);
      if (event.type === "drain" && board.self.drainingSince === undefined) {
        board.self.drainingSince = step.now;
      }
    }
    const cardChanged = this.#updateCard(board, step);
    this.#chooseLeader(board, step);
    this.#sendHeartbeats(board, step, cardChanged);
    this.#probeSilent(board, step);
    this.#discovery.step(
      board,
      step,
      (peer) => this.#sendHeartbeat(board, step, peer),
    );
  }

  /** Updates `open` and `slow` of this daemon's card; returns whether they changed, which peers learn at once. */
  #updateCard(board: GatewayBoard, step: GatewayStep): boolean {
    const { self } = board;
    const open = isReady(board);
    const { slow } = this.#speed;
    const before = self.card;
    if (before.open === open && before.slow === slow) return false;
    self.card = { ...before, open, slow };
    if (before.slow !== slow) {
      const factor = Number(this.#speed.slowdownFactor.toFixed(1));
      step.line("own_speed", { slow, factor });
    }
    return true;
  }

  #onMessage(
    board: GatewayBoard,
    step: GatewayStep,
    message: PeerMessage,
  ): void {
    const { table } = board.members;
    if (message.type !== "heartbeat" && message.type !== "heartbeat_reply") {
      return;
    }
    const { from } = message;
    if (from.vm === board.self.card.vm) return;
    const wasLive =
      step.now - table.lastMessageAt(from.vm) <= livenessTimeoutMs(board);
    const change = table.recordMessage(from, step.now);
    if (!wasLive || change !== "known") {
      step.line("peer_up", { peer: from.vm, open: from.open, how: change });
    }
    if (message.type === "heartbeat") this.#sendReply(board, step, message);
    else {
      board.members.introducedAt ??= step.now;
      table.recordCandidates(message.candidates ?? [], step.now);
      this.#quarantineSummaries.set(from.vm, message.contents?.mark ?? "");
      const fromLeader = from.vm === board.members.leader;
      const isLeader = board.members.leader === board.self.card.vm;
      if (message.roster !== undefined && (fromLeader || isLeader)) {
        table.applyRoster(message.roster, step.now);
      }
      if (fromLeader) this.#leaderSeenAt = step.now;
    }
  }

  #sendReply(
    board: GatewayBoard,
    step: GatewayStep,
    heartbeat: Extract<PeerMessage, { type: "heartbeat" }>,
  ): void {
    const { roster } = heartbeat;
    const message = heartbeatReply(board, step.now, {
      ...heartbeat,
      roster: roster === undefined
        ? undefined
        : this.#currentRoster(board, step).since(roster),
      candidates: [
        board.self.card,
        ...board.members.table.directlyLive(
          step.now,
          livenessTimeoutMs(board),
        ),
      ],
    });
    step.emit({ type: "send", to: heartbeat.from.peer, message });
  }

  /** This daemon's roster, updated at most once per step. */
  #currentRoster(board: GatewayBoard, step: GatewayStep): Roster {
    const { members, self } = board;
    const { vm, startedAt } = self.card;
    this.#roster ??= Roster.create(`${vm}/${startedAt}`);
    if (this.#rosterUpdatedAt !== step.now) {
      this.#roster.update(
        members.table.directlyLive(step.now, livenessTimeoutMs(board)),
      );
      this.#rosterUpdatedAt = step.now;
    }
    return this.#roster;
  }

  /** Sends a heartbeat to daemons that were announced in the store. */
  #contact(
    board: GatewayBoard,
    step: GatewayStep,
    cards: readonly PeerCard[],
  ): void {
    for (const card of cards) {
      if (card.vm !== board.self.card.vm) {
        this.#sendHeartbeat(board, step, card.peer);
      }
    }
  }

  #chooseLeader(board: GatewayBoard, step: GatewayStep): void {
    const { members, self } = board;
    const { table } = members;
    const isFollower = members.leader !== self.card.vm;
    const silentMs = MAX_UNANSWERED_HEARTBEATS * members.heartbeatMs +
      REPLY_ALLOWANCE_MS;
    if (isFollower && step.now - this.#leaderSeenAt > silentMs) {
      table.markDown(members.leader);
      step.line("peer_down", { peer: members.leader, silent_ms: silentMs });
    }
    members.electedAt ??= step.now;
    const candidates = this.#candidates(board, step);
    const [best, second] = bestLeaders(candidates, 2);
    if (second?.vm !== members.deputy) this.#nextHeartbeatAt = step.now;
    members.deputy = second?.vm;
    if (best === undefined || best.vm === members.leader) return;
    step.line("leader", {
      from: members.leader,
      to: best.vm,
      of: candidates.length,
    });
    members.leader = best.vm;
    this.#leaderSeenAt = step.now;
    members.electedAt = step.now;
    this.#nextHeartbeatAt = step.now;
  }

  /** The daemons that may lead: those that are open or, while none is, all, of which only the best one reads the store. */
  #candidates(board: GatewayBoard, step: GatewayStep): readonly PeerCard[] {
    const { members, self } = board;
    const live = members.table.live(step.now, livenessTimeoutMs(board));
    const all = [...live, self.card];
    const open = all.filter((card) => card.open);
    return open.length > 0 ? open : all;
  }

  #sendHeartbeats(
    board: GatewayBoard,
    step: GatewayStep,
    cardChanged: boolean,
  ): void {
    const { members } = board;
    const { table } = members;
    if (cardChanged || step.now >= this.#nextHeartbeatAt) {
      const receivers = cardChanged
        ? table.directlyLive(step.now, livenessTimeoutMs(board))
        : otherPlacers(board).flatMap((vm) => table.get(vm) ?? []);
      for (const { peer, vm } of receivers) {
        this.#sendHeartbeat(board, step, peer, vm);
      }
      this.#nextHeartbeatAt = addMs(step.now, members.heartbeatMs);
    }
    step.wake(this.#nextHeartbeatAt);
  }

  #probeSilent(board: GatewayBoard, step: GatewayStep): void {
    if (step.now >= this.#nextProbeAt) {
      const { table } = board.members;
      const live = new Set(
        table.live(step.now, livenessTimeoutMs(board)).map((card) => card.vm),
      );
      const silent = table.all().filter((card) => !live.has(card.vm))
        .sort(compareLeaders);
      const next = silent[this.#probeCount % Math.max(1, silent.length)];
      if (next !== undefined) this.#sendHeartbeat(board, step, next.peer);
      this.#probeCount += 1;
      this.#nextProbeAt = addMs(step.now, PROBE_INTERVAL_MS);
    }
    step.wake(this.#nextProbeAt);
  }

  #sendHeartbeat(
    board: GatewayBoard,
    step: GatewayStep,
    to: string,
    vm?: VmId,
  ): void {
    const { self, pool } = board;
    if (to === self.card.peer) return;
    const jobs = [...pool.scheduler.tracker.jobs.values()]
      .filter((job) => job.vm === self.card.vm);
    step.emit({
      type: "send",
      to,
      message: {
        type: "heartbeat",
        from: self.card,
        progress: storeProgressOf(board, step.now),
        roster: this.#requestedRoster(board, to),
        seeks: this.#seeksLeader(board, step) ? true : undefined,
        fetches: true,
        jobs,
        paces: this.#slowEnginePaces(board, step),
        contents: contentSyncFor(board, step.now, {
          to: vm,
          mark: vm && this.#quarantineSummaries.get(vm),
        }),
        rates: board.gate.rates.notices(step.now),
        cold: board.gate.cold.notices(step.now),
        booked: newBookings(board, vm, step.now),
      },
    });
  }

  /** Whether there may be a better leader than this daemon knows. */
  #seeksLeader(board: GatewayBoard, step: GatewayStep): boolean {
    const { table, electedAt = step.now } = board.members;
    return step.now - electedAt <= SEEK_MS ||
      table.live(step.now, livenessTimeoutMs(board)).length === 0;
  }

  /** Slow engines, which the leader sends along so that its deputy has them after a change of leader. */
  #slowEnginePaces(board: GatewayBoard, step: GatewayStep) {
    const { members, pool, self } = board;
    if (members.leader !== self.card.vm) return undefined;
    const slow = pool.scheduler.tracker.slowUpstreams(step.now);
    if (slow.length === 0) return undefined;
    return slow.map((engine) => ({
      upstream: engine.id,
      pace: engine.slowdownAt(step.now),
    }));
  }

  /**
   * The roster position to send, or nothing where no update is requested. A daemon requests the leader's roster, and
   * the leader requests its deputy's.
   */
  #requestedRoster(
    board: GatewayBoard,
    to: string,
  ): RosterPosition | undefined {
    const { members, self } = board;
    const { table, leader, deputy } = members;
    const rosterSource = leader === self.card.vm ? deputy : leader;
    const isRosterSource = rosterSource !== undefined &&
      table.get(rosterSource)?.peer === to;
    return isRosterSource ? table.position : undefined;
  }
}
