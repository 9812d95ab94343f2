import { addMs, type Millis, type Timestamp } from "../../core/time.ts";
import { type GatewayBoard, storeProgressOf } from "../gateway_board.ts";
import { GatewayController, type GatewayStep } from "../gateway_controller.ts";
import type { VmId } from "../../core/id.ts";
import { shareContents } from "../contents/share_contents.ts";
import { compareLeaders } from "./member_table.ts";
import { headsOf, heartbeatIntervalMs, isReady, liveMs } from "./membership.ts";
import type { PeerCard, PeerMessage } from "../peers/peer_message.ts";
import { OwnSpeed } from "./own_speed.ts";
import { NO_ROSTER, Roster, type RosterPosition } from "./roster.ts";

/** Heartbeats that a leader may leave unanswered. */
const UNANSWERED_HEARTBEATS = 2;
/** What an answer may take besides. */
const ANSWER_MS: Millis = 250;
/** Time between heartbeats to silent daemons that would lead if they lived. */
const PROBE_MS: Millis = 2_000;
/** Time between heartbeats to the seeds while no other daemon is known. */
const SEED_MS: Millis = 500;
/** Time without any other daemon after which the store is asked for them. */
const ALONE_MS: Millis = 1_500;
/** Time between such readings. */
const ANNOUNCE_MS: Millis = 10_000;

/** Finds the other daemons, says who of them lives, and agrees on the one that places for all. */
export class MembersController extends GatewayController {
  #heartbeatAt = 0 as Timestamp;
  #probeAt = 0 as Timestamp;
  #seedAt = 0 as Timestamp;
  #askStoreAt: Timestamp | undefined;
  #announceAt: Timestamp | undefined;
  /** When the leader was last heard, or became the leader. */
  #leaderHeardAt = 0 as Timestamp;
  #probed = 0;
  readonly #speed = OwnSpeed.create();
  #roster: Roster | undefined;
  #rosterAt: Timestamp | undefined;
  /** What leader and deputy last said that they know of quarantined contents. */
  readonly #marks = new Map<VmId, string>();

  static create(): MembersController {
    return new MembersController();
  }

  override step(board: GatewayBoard, step: GatewayStep): void {
    const { members } = board;
    const count = members.table.all().length + 1;
    members.heartbeatMs = heartbeatIntervalMs(count);
    for (const event of step.events) {
      if (event.type === "message") this.#take(board, step, event.message);
      if (event.type === "announced") this.#contact(board, step, event.cards);
      if (event.type === "resumed") {
        this.#heartbeatAt = step.now;
        step.line("resumed", { lost_ms: Math.round(event.suspendedMs) });
      }
      if (event.type === "timed") this.#speed.add(event.ms);
      if (event.type === "drain" && board.self.drainingSince === undefined) {
        board.self.drainingSince = step.now;
      }
    }
    const changed = this.#updateCard(board, step);
    this.#chooseLeader(board, step);
    this.#heartbeat(board, step, changed);
    this.#probe(board, step);
    this.#discover(board, step);
    this.#announce(board, step);
  }

  /** Whether clients may come depends on what is known; the others hear of a change at once. */
  #updateCard(board: GatewayBoard, step: GatewayStep): boolean {
    const { self } = board;
    const open = isReady(board);
    const { slow } = this.#speed;
    const before = self.card;
    if (before.open === open && before.slow === slow) return false;
    self.card = { ...before, open, slow };
    if (before.slow !== slow) {
      const factor = Number(this.#speed.factor.toFixed(1));
      step.line("own_speed", { slow, factor });
    }
    return true;
  }

  #take(board: GatewayBoard, step: GatewayStep, message: PeerMessage): void {
    const { table } = board.members;
    if (message.type !== "heartbeat" && message.type !== "heartbeat_reply") {
      return;
    }
    const { from } = message;
    if (from.vm === board.self.card.vm) return;
    const wasLive = step.now - table.heardAt(from.vm) <= liveMs(board);
    const updates = table.hear(from, step.now);
    if (!wasLive || updates !== "known") {
      step.line("peer_up", { peer: from.vm, open: from.open, how: updates });
    }
    if (message.type === "heartbeat") this.#answer(board, step, message);
    else {
      this.#marks.set(from.vm, message.contents?.mark ?? "");
      const leads = from.vm === board.members.leader;
      const leading = board.members.leader === board.self.card.vm;
      if (message.roster !== undefined && (leads || leading)) {
        table.follow(message.roster, step.now);
      }
      if (leads) this.#leaderHeardAt = step.now;
    }
  }

  #answer(
    board: GatewayBoard,
    step: GatewayStep,
    heartbeat: Extract<PeerMessage, { type: "heartbeat" }>,
  ): void {
    const { members, register, self } = board;
    const behind = heartbeat.progress.offset < register.lastChangeOffset;
    step.emit({
      type: "send",
      to: heartbeat.from.peer,
      message: {
        type: "heartbeat_reply",
        from: self.card,
        progress: storeProgressOf(board, step.now),
        leader: members.leader,
        roster: heartbeat.roster === undefined
          ? undefined
          : this.#currentRoster(board, step).since(heartbeat.roster),
        entries: behind ? register.table.all() : undefined,
        contents: shareContents(board, step.now, {
          to: heartbeat.from.vm,
          mark: heartbeat.contents?.mark,
        }),
      },
    });
  }

  /** The list of daemons that were heard here, brought up to date once in each step. */
  #currentRoster(board: GatewayBoard, step: GatewayStep): Roster {
    const { members, self } = board;
    const { vm, startedAt } = self.card;
    this.#roster ??= Roster.create(`${vm}/${startedAt}`);
    if (this.#rosterAt !== step.now) {
      this.#roster.update(members.table.heard(step.now, liveMs(board)));
      this.#rosterAt = step.now;
    }
    return this.#roster;
  }

  /** Says hello to daemons that the store or a seed named. */
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
    const lead = members.leader !== self.card.vm;
    const silentMs = UNANSWERED_HEARTBEATS * members.heartbeatMs + ANSWER_MS;
    if (lead && step.now - this.#leaderHeardAt > silentMs) {
      table.silence(members.leader);
      step.line("peer_down", { peer: members.leader, silent_ms: silentMs });
    }
    const open = table.live(step.now, liveMs(board)).filter((one) => one.open);
    if (self.card.open || open.length === 0) open.push(self.card);
    const [best, second] = open.sort(compareLeaders);
    if (second?.vm !== members.deputy) this.#heartbeatAt = step.now;
    members.deputy = second?.vm;
    if (best === undefined || best.vm === members.leader) return;
    step.line("leader", { from: members.leader, to: best.vm, of: open.length });
    members.leader = best.vm;
    this.#leaderHeardAt = step.now;
    this.#heartbeatAt = step.now;
  }

  #heartbeat(board: GatewayBoard, step: GatewayStep, changed: boolean): void {
    const { members } = board;
    const { table } = members;
    if (changed || step.now >= this.#heartbeatAt) {
      const heads = changed
        ? table.heard(step.now, liveMs(board))
        : headsOf(board).flatMap((vm) => table.get(vm) ?? []);
      for (const { peer, vm } of heads) {
        this.#sendHeartbeat(board, step, peer, vm);
      }
      this.#heartbeatAt = addMs(step.now, members.heartbeatMs);
    }
    step.wake(this.#heartbeatAt);
  }

  #probe(board: GatewayBoard, step: GatewayStep): void {
    if (step.now >= this.#probeAt) {
      const { table } = board.members;
      const live = new Set(
        table.live(step.now, liveMs(board)).map((one) => one.vm),
      );
      const silent = table.all().filter((one) => !live.has(one.vm))
        .sort(compareLeaders);
      const one = silent[this.#probed % Math.max(1, silent.length)];
      if (one !== undefined) this.#sendHeartbeat(board, step, one.peer);
      this.#probed += 1;
      this.#probeAt = addMs(step.now, PROBE_MS);
    }
    step.wake(this.#probeAt);
  }

  #discover(board: GatewayBoard, step: GatewayStep): void {
    const { table } = board.members;
    if (table.live(step.now, liveMs(board)).length > 0) {
      this.#askStoreAt = undefined;
      return;
    }
    if (step.now >= this.#seedAt) {
      for (const seed of board.self.seeds) {
        this.#sendHeartbeat(board, step, seed);
      }
      this.#seedAt = addMs(step.now, SEED_MS);
    }
    this.#askStoreAt ??= addMs(step.now, ALONE_MS);
    if (step.now >= this.#askStoreAt) {
      step.emit({ type: "read_announced" });
      this.#askStoreAt = addMs(step.now, ANNOUNCE_MS);
    }
    step.wake(Math.min(this.#seedAt, this.#askStoreAt));
  }

  #announce(board: GatewayBoard, step: GatewayStep): void {
    const { members, self } = board;
    if (members.leader !== self.card.vm) {
      this.#announceAt = undefined;
      return;
    }
    this.#announceAt ??= addMs(step.now, ALONE_MS);
    if (step.now >= this.#announceAt) {
      step.emit({ type: "announce", card: self.card });
      this.#announceAt = Infinity as Timestamp;
    }
    step.wake(this.#announceAt);
  }

  #sendHeartbeat(
    board: GatewayBoard,
    step: GatewayStep,
    to: string,
    vm?: VmId,
  ): void {
    const { self, pool } = board;
    if (to === self.card.peer) return;
    const jobs = [...pool.scheduler.accounts.jobs.values()]
      .filter((job) => job.vm === self.card.vm);
    step.emit({
      type: "send",
      to,
      message: {
        type: "heartbeat",
        from: self.card,
        progress: storeProgressOf(board, step.now),
        roster: this.#wantedRoster(board, step, to),
        jobs,
        paces: this.#knownPaces(board, step),
        contents: shareContents(board, step.now, {
          to: vm,
          mark: vm === undefined ? undefined : this.#marks.get(vm),
        }),
      },
    });
  }

  /** The leader tells its deputy which engines are slow, so that this outlives a change of leader. */
  #knownPaces(board: GatewayBoard, step: GatewayStep) {
    const { members, pool, self } = board;
    if (members.leader !== self.card.vm) return undefined;
    const slow = pool.scheduler.accounts.slow(step.now);
    if (slow.length === 0) return undefined;
    return slow.map((one) => ({
      upstream: one.id,
      pace: one.paceAt(step.now),
    }));
  }

  /** The list is the leader's; the leader compares it with its deputy's, and a daemon without peers takes any. */
  #wantedRoster(
    board: GatewayBoard,
    step: GatewayStep,
    to: string,
  ): RosterPosition | undefined {
    const { members, self } = board;
    const { table, leader, deputy } = members;
    const alone = table.live(step.now, liveMs(board)).length === 0;
    if (alone) return NO_ROSTER;
    const keeper = leader === self.card.vm ? deputy : leader;
    const asked = keeper !== undefined && table.get(keeper)?.peer === to;
    return asked ? table.position : undefined;
  }
}
