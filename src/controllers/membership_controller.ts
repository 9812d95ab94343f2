import type { Blackboard } from "../board/blackboard.ts";
import type { Peer, PeerState } from "../board/members_section.ts";
import { Controller } from "../core/controller.ts";
import type { Event } from "../core/event.ts";
import {
  type DaemonId,
  type DomainId,
  NO_REVISION,
  type Revision,
  type UpstreamId,
  type VmId,
} from "../core/id.ts";
import { rendezvous, rendezvousRank } from "../core/rendezvous.ts";
import type { StepContext } from "../core/step_context.ts";
import {
  addMs,
  type Millis,
  MINUTE_MS,
  SECOND_MS,
  type Timestamp,
} from "../core/time.ts";
import type { Envelope, Heartbeat } from "../gen/peer.ts";
import type { Vm } from "../wire/vm_list.ts";
import { createHeartbeat } from "./heartbeat.ts";

/** Interval of the heartbeats to each peer. */
export const HEARTBEAT_INTERVAL_MS: Millis = SECOND_MS;
/** Time without a heartbeat after which a peer no longer counts as live. */
export const PEER_TIMEOUT_MS: Millis = 3 * HEARTBEAT_INTERVAL_MS + 500;
const PEER_RETENTION_MS: Millis = MINUTE_MS;
/** Longest time that a planned stop waits for outcomes and records to reach the log. */
const LOG_FLUSH_TIMEOUT_MS: Millis = 10 * SECOND_MS;
const MAX_PEERS = 256;
const MAX_UPDATES = 256;
/** Time that a peer has to read a new configuration from the log before it is sent the text. */
const CONFIG_GRACE_MS: Millis = 2 * SECOND_MS;
/** Delay per rank before a daemon sends the configuration, so that usually only one daemon does. */
const CONFIG_STAGGER_MS: Millis = SECOND_MS;
const MAX_CONFIG_STAGGERS = 4;
const ELECTION_KEY = "cell-0";
const DEFAULT_ENTRY_MAX_AGE_MS: Millis = 10 * SECOND_MS;

/** Tracks the daemons of the cell, drains this daemon on shutdown, and elects the scheduling daemon. */
export class MembershipController extends Controller {
  override readonly name = "members";
  #nextHeartbeatAt: Timestamp | undefined;
  #refuseAt: Timestamp | undefined;
  #hasVms = false;
  #forcedExitAt: Timestamp | undefined;
  #seq = 0;
  /** Number of crashes in the last heartbeats sent. */
  #crashesSent = 0;
  /** Ids of the candidates of the last election, one a line. */
  #candidates = "";
  readonly #lastSeqs = new Map<DaemonId, number>();
  /** When each peer was first seen with a revision older than the one in force here. */
  readonly #outdatedSince = new Map<DaemonId, Timestamp>();
  /** Addresses of new peers and of peers that are live again; each gets a heartbeat at once. */
  readonly #newAddresses = new Set<string>();

  static create(): MembershipController {
    return new MembershipController();
  }

  override step(board: Blackboard, ctx: StepContext): void {
    for (const event of ctx.events) this.#onEvent(board, ctx, event);
    this.#removeExpiredPeers(board, ctx.now);
    this.#trackOutdatedPeers(board, ctx.now);
    this.#drain(board, ctx);
    this.#updateReady(board);
    this.#elect(board, ctx.now);
    this.#sendHeartbeats(board, ctx);
  }

  #onEvent(board: Blackboard, ctx: StepContext, event: Event): void {
    switch (event.type) {
      case "vms_listed":
        this.#hasVms = true;
        return this.#updateAddresses(board, event.vms);
      case "peer_message":
        return this.#onMessage(board, ctx, event.envelope);
      case "drain_requested":
        return this.#startDrain(board, ctx);
    }
  }

  #updateAddresses(board: Blackboard, vms: readonly Vm[]): void {
    const known = new Set(board.members.addresses);
    const addresses = entryAddresses(vms, board.self.peerAddress);
    board.members.addresses = addresses;
    for (const address of addresses) {
      if (!known.has(address)) this.#newAddresses.add(address);
    }
  }

  #onMessage(board: Blackboard, ctx: StepContext, envelope: Envelope): void {
    if (envelope.body?.$case !== "heartbeat") return;
    const from = envelope.from as DaemonId;
    if (from === board.self.id) return;
    const lastSeq = this.#lastSeqs.get(from) ?? -1;
    if (
      envelope.seq <= lastSeq ||
      (!this.#lastSeqs.has(from) && this.#lastSeqs.size >= MAX_PEERS)
    ) {
      return ctx.counters.add("peer_messages_dropped");
    }
    this.#lastSeqs.set(from, envelope.seq);
    const heartbeat = envelope.body.value;
    const lastMessageAt = board.members.peers.get(from)?.lastMessageAt;
    if (
      lastMessageAt === undefined || ctx.now - lastMessageAt > PEER_TIMEOUT_MS
    ) {
      this.#newAddresses.add(heartbeat.peerAddress);
    }
    board.members.peers.set(from, toPeer(from, heartbeat, ctx.now));
    this.#dropEarlierRuns(board, from, heartbeat.vm as VmId);
    for (const update of heartbeat.upstreams) this.#keepUpdate(board, update);
  }

  /** A VM runs one daemon at a time; the daemon whose heartbeat came last is the live one. */
  #dropEarlierRuns(board: Blackboard, from: DaemonId, vm: VmId): void {
    for (const peer of board.members.peers.values()) {
      if (peer.vm === vm && peer.id !== from) {
        board.members.peers.delete(peer.id);
      }
    }
  }

  #keepUpdate(board: Blackboard, update: Heartbeat["upstreams"][number]): void {
    const { upstreamUpdates } = board.members;
    const id = update.upstream as UpstreamId;
    upstreamUpdates.delete(id);
    upstreamUpdates.set(id, {
      incarnation: update.incarnation,
      state: update.state,
    });
    const oldest = upstreamUpdates.keys().next().value;
    if (upstreamUpdates.size > MAX_UPDATES && oldest !== undefined) {
      upstreamUpdates.delete(oldest);
    }
  }

  #removeExpiredPeers(board: Blackboard, now: Timestamp): void {
    for (const peer of board.members.peers.values()) {
      if (now - peer.lastMessageAt <= PEER_RETENTION_MS) continue;
      board.members.peers.delete(peer.id);
      this.#lastSeqs.delete(peer.id);
    }
  }

  #trackOutdatedPeers(board: Blackboard, now: Timestamp): void {
    const { peers } = board.members;
    for (const peer of peers.values()) {
      const isOutdated = peer.revision < board.config.revision;
      if (!isOutdated) this.#outdatedSince.delete(peer.id);
      else if (!this.#outdatedSince.has(peer.id)) {
        this.#outdatedSince.set(peer.id, now);
      }
    }
    for (const id of this.#outdatedSince.keys()) {
      if (!peers.has(id)) this.#outdatedSince.delete(id);
    }
  }

  /** Peers read the log. The text is sent only to a peer that stays outdated, by the daemons in order of their rank. */
  #needsConfig(board: Blackboard, peer: Peer, now: Timestamp): boolean {
    const since = this.#outdatedSince.get(peer.id);
    if (since === undefined) return false;
    const others = livePeers(board, now)
      .filter((other) => other.revision === board.config.revision)
      .map((other) => other.id);
    const rank = rendezvousRank(peer.id, board.self.id, others);
    const staggerMs = Math.min(rank, MAX_CONFIG_STAGGERS) * CONFIG_STAGGER_MS;
    const graceMs = peer.revision === NO_REVISION ? 0 : CONFIG_GRACE_MS;
    return now - since >= graceMs + staggerMs;
  }

  #startDrain(board: Blackboard, ctx: StepContext): void {
    if (board.members.drain !== "serving") return;
    board.members.drain = "leaving";
    const age = board.config.serving?.limits.entryMaxAgeMs ??
      DEFAULT_ENTRY_MAX_AGE_MS;
    // A peer that misses the update lists this daemon to clients until PEER_TIMEOUT_MS has passed.
    this.#refuseAt = addMs(
      ctx.now,
      age + PEER_TIMEOUT_MS + HEARTBEAT_INTERVAL_MS,
    );
    this.#nextHeartbeatAt = undefined;
  }

  #drain(board: Blackboard, ctx: StepContext): void {
    const { members } = board;
    if (members.drain === "leaving" && this.#refuseAt !== undefined) {
      if (ctx.now >= this.#refuseAt) members.drain = "refusing";
      else ctx.wakeAt(this.#refuseAt);
    }
    if (members.drain !== "refusing" || board.requests.byId.size > 0) return;
    if (ctx.events.some(isArrival)) return ctx.repeat();
    if (this.#waitsForLog(board, ctx)) return;
    members.drain = "finished";
    ctx.emit({ type: "exit" });
  }

  /** Waits for outcomes and records to reach the log, for a limited time since the log may be down. */
  #waitsForLog(board: Blackboard, ctx: StepContext): boolean {
    this.#forcedExitAt ??= addMs(ctx.now, LOG_FLUSH_TIMEOUT_MS);
    const unconfirmed = board.claims.unconfirmed + board.records.unconfirmed;
    if (unconfirmed === 0 || ctx.now >= this.#forcedExitAt) return false;
    ctx.wakeAt(this.#forcedExitAt);
    return true;
  }

  /** Sets `ready` once the configuration, the VM list and the state of each live engine are known. Before, this daemon would refuse prompts for lack of engines, its own and those of other daemons. */
  #updateReady(board: Blackboard): void {
    const { config, members, upstreams } = board;
    if (members.ready || config.serving === undefined || !this.#hasVms) return;
    members.ready = [...upstreams.byId.values()].every((upstream) =>
      upstream.kind === "service" || upstream.state !== "live" ||
      upstream.engine !== undefined
    );
  }

  /** Elects the scheduling daemon. The result is soft state: daemons that disagree for a while only place prompts less well. */
  #elect(board: Blackboard, now: Timestamp): void {
    const candidates = livePeers(board, now)
      .filter((peer) => peer.state === "serving")
      .map((peer) => peer.id);
    const { drain, ready } = board.members;
    if (drain === "serving" && ready) candidates.push(board.self.id);
    const names = candidates.sort().join("\n");
    if (names === this.#candidates) return;
    this.#candidates = names;
    board.members.scheduler = rendezvous(ELECTION_KEY, candidates) ??
      board.self.id;
  }

  #sendHeartbeats(board: Blackboard, ctx: StepContext): void {
    const { crashesSeen } = board.quarantine;
    const hasNewCrashes = crashesSeen > this.#crashesSent;
    this.#crashesSent = crashesSeen;
    if (
      hasNewCrashes || this.#nextHeartbeatAt === undefined ||
      ctx.now >= this.#nextHeartbeatAt
    ) {
      this.#nextHeartbeatAt = addMs(ctx.now, HEARTBEAT_INTERVAL_MS);
      for (const address of board.members.addresses) {
        this.#send(board, ctx, address);
      }
    } else {
      for (const address of this.#newAddresses) this.#send(board, ctx, address);
    }
    this.#newAddresses.clear();
    ctx.wakeAt(this.#nextHeartbeatAt);
  }

  #send(board: Blackboard, ctx: StepContext, address: string): void {
    this.#seq += 1;
    const peer = [...board.members.peers.values()].find((known) =>
      known.peerAddress === address
    );
    const value = createHeartbeat(board, {
      now: ctx.now,
      withConfig: peer !== undefined && this.#needsConfig(board, peer, ctx.now),
    });
    const envelope = {
      from: board.self.id,
      seq: this.#seq,
      body: { $case: "heartbeat" as const, value },
    };
    ctx.emit({ type: "send_peer", address, envelope });
  }
}

/** Whether an event may add a request in flight later in the same step. */
function isArrival(event: Event): boolean {
  return event.type === "request_arrived" || event.type === "request_resumed";
}

/** Returns the peers whose last heartbeat is at most `PEER_TIMEOUT_MS` old. */
export function livePeers(board: Blackboard, now: Timestamp): readonly Peer[] {
  return [...board.members.peers.values()].filter((peer) =>
    now - peer.lastMessageAt <= PEER_TIMEOUT_MS
  );
}

function entryAddresses(vms: readonly Vm[], self: string): readonly string[] {
  return vms
    .filter((vm) => vm.role === "entry" && vm.address !== self)
    .map((vm) => vm.address)
    .slice(0, MAX_PEERS);
}

function toPeer(id: DaemonId, heartbeat: Heartbeat, now: Timestamp): Peer {
  return {
    id,
    vm: heartbeat.vm as VmId,
    domain: heartbeat.domain as DomainId,
    clientAddress: heartbeat.clientAddress,
    peerAddress: heartbeat.peerAddress,
    state: toPeerState(heartbeat.state),
    revision: heartbeat.revision as Revision,
    running: heartbeat.running,
    queued: heartbeat.queued,
    lastMessageAt: now,
  };
}

function toPeerState(state: string): PeerState {
  return state === "starting" || state === "serving" || state === "leaving" ||
      state === "refusing"
    ? state
    : "finished";
}
