import { fnv1aHash } from "../../core/fnv1a.ts";
import type { VmId } from "../../core/id.ts";
import type { Millis, Timestamp } from "../../core/time.ts";
import type { PeerCard } from "../peers/peer_message.ts";
import { NO_ROSTER, type RosterPosition, type RosterUpdate } from "./roster.ts";

/** State of another daemon, as seen by this one. */
type Member = {
  card: PeerCard;
  /** When its last message arrived. */
  lastMessageAt: Timestamp;
  /** When a received roster last listed it as live. */
  lastListedAt: Timestamp;
  /** When it was last known to be live, whatever has been concluded since. */
  lastSeenAt: Timestamp;
};

const NEVER = -Infinity as Timestamp;

/** Most daemons that the table holds, those that no longer answer included. */
const MAX_MEMBERS = 1_024;

/** The other daemons of the system: those that sent a message and those that a roster listed. */
export class MemberTable {
  readonly #self: VmId;
  readonly #members = new Map<VmId, Member>();
  /** Addresses of the daemons that read packed messages. */
  readonly #packedPeers = new Set<string>();
  #position = NO_ROSTER;

  private constructor(self: VmId) {
    this.#self = self;
  }

  static create(self: VmId): MemberTable {
    return new MemberTable(self);
  }

  /** Records a message from a daemon, with the card that it carried. */
  recordMessage(
    card: PeerCard,
    now: Timestamp,
  ): "joined" | "restarted" | "known" {
    const change = this.#upsert(card);
    const known = this.#members.get(card.vm);
    if (known !== undefined) {
      known.lastMessageAt = now;
      known.lastSeenAt = now;
    }
    return change;
  }

  /**
   * Records candidates for leader that another daemon has heard. What is known here of a daemon's process holds, so that
   * daemons don't keep one alive by telling each other of it.
   */
  recordCandidates(cards: readonly PeerCard[], now: Timestamp): void {
    const fresh = cards.filter(({ vm, startedAt }) =>
      startedAt > (this.#members.get(vm)?.card.startedAt ?? -Infinity)
    );
    this.#list(fresh, now);
  }

  /** Applies a roster update of another daemon; an update that doesn't continue from the known position is ignored. */
  applyRoster(update: RosterUpdate, now: Timestamp): void {
    const { epoch, seq, since, joined, gone } = update;
    const position = this.#position;
    if (since !== undefined) {
      const follows = position.epoch === epoch &&
        (position.seq === since || position.seq === seq);
      if (!follows) return;
    }
    for (const [vm, member] of this.#members) {
      const left = since === undefined || gone.includes(vm);
      if (left) member.lastListedAt = NEVER;
      else if (member.lastListedAt !== NEVER) {
        member.lastListedAt = now;
        member.lastSeenAt = now;
      }
    }
    this.#list(joined, now);
    this.#position = { epoch, seq };
  }

  /** Position in the roster up to which updates are applied. */
  get position(): RosterPosition {
    return this.#position;
  }

  /** Counts a daemon as down until its next message or a roster that lists it. */
  markDown(vm: VmId): void {
    const known = this.#members.get(vm);
    if (known === undefined) return;
    known.lastMessageAt = NEVER;
    known.lastListedAt = NEVER;
  }

  get(vm: VmId): PeerCard | undefined {
    return this.#members.get(vm)?.card;
  }

  /** Whether the daemon at an address reads packed messages, as far as is known. */
  readsPacked(peer: string): boolean {
    return this.#packedPeers.has(peer);
  }

  /** When the last message of a daemon arrived; -Infinity for none. */
  lastMessageAt(vm: VmId): Timestamp {
    return this.#members.get(vm)?.lastMessageAt ?? NEVER;
  }

  /** Daemons that sent this one a message within the last `ms`. */
  directlyLive(now: Timestamp, ms: Millis): readonly PeerCard[] {
    return this.#select((member) => now - member.lastMessageAt <= ms);
  }

  /** Daemons that sent a message or were listed in a roster within the last `ms`. */
  live(now: Timestamp, ms: Millis): readonly PeerCard[] {
    return this.#select((member) =>
      now - Math.max(member.lastMessageAt, member.lastListedAt) <= ms
    );
  }

  /** Daemons that were live at some time within the last `ms`, also if they count as down since. */
  seenWithin(now: Timestamp, ms: Millis): readonly PeerCard[] {
    return this.#select((member) => now - member.lastSeenAt <= ms);
  }

  /** All daemons of the table, live or not. */
  all(): readonly PeerCard[] {
    return [...this.#members.values()].map((member) => member.card);
  }

  #upsert(card: PeerCard): "joined" | "restarted" | "known" {
    if (card.vm === this.#self) return "known";
    const known = this.#members.get(card.vm);
    const isOlder = known !== undefined &&
      card.startedAt < known.card.startedAt;
    if (!isOlder) this.#recordPacked(card, known?.card);
    if (known === undefined) {
      if (this.#members.size >= MAX_MEMBERS) this.#evictOldest();
      this.#members.set(card.vm, {
        card,
        lastMessageAt: NEVER,
        lastListedAt: NEVER,
        lastSeenAt: NEVER,
      });
      return "joined";
    }
    if (isOlder) return "known";
    const restarted = card.startedAt > known.card.startedAt;
    known.card = card;
    return restarted ? "restarted" : "known";
  }

  #list(cards: readonly PeerCard[], now: Timestamp): void {
    for (const card of cards) {
      this.#upsert(card);
      const known = this.#members.get(card.vm);
      if (known === undefined) continue;
      known.lastListedAt = now;
      known.lastSeenAt = now;
    }
  }

  #recordPacked(card: PeerCard, before: PeerCard | undefined): void {
    if (before !== undefined) this.#packedPeers.delete(before.peer);
    if (card.packed) this.#packedPeers.add(card.peer);
  }

  #select(matches: (member: Member) => boolean): readonly PeerCard[] {
    const cards: PeerCard[] = [];
    for (const member of this.#members.values()) {
      if (matches(member)) cards.push(member.card);
    }
    return cards;
  }

  #evictOldest(): void {
    let oldest: [VmId, Member] | undefined;
    for (const entry of this.#members) {
      if (
        oldest === undefined || entry[1].lastMessageAt < oldest[1].lastMessageAt
      ) {
        oldest = entry;
      }
    }
    if (oldest === undefined) return;
    this.#members.delete(oldest[0]);
    this.#packedPeers.delete(oldest[1].card.peer);
  }
}

/**
 * Sorts daemons by preference as leader: slow ones last, then by descending processor share, then by a hash of the VM
 * id, which spreads leader and deputy over failure domains.
 */
export function compareLeaders(a: PeerCard, b: PeerCard): number {
  return Number(a.slow) - Number(b.slow) || b.power - a.power ||
    hashOf(a.vm) - hashOf(b.vm) ||
    (a.vm < b.vm ? -1 : a.vm > b.vm ? 1 : 0);
}

/** The `count` daemons that are preferred as leader, best first, in one pass: each step of a daemon asks for them. */
export function bestLeaders(
  cards: Iterable<PeerCard>,
  count: number,
): readonly PeerCard[] {
  const best: PeerCard[] = [];
  for (const card of cards) {
    const last = best.at(-1);
    if (best.length === count && compareLeaders(card, last!) >= 0) continue;
    const at = best.findIndex((other) => compareLeaders(card, other) < 0);
    best.splice(at === -1 ? best.length : at, 0, card);
    if (best.length > count) best.pop();
  }
  return best;
}

const hashes = new Map<VmId, number>();

/** Hashes of VM ids, which every comparison needs. */
function hashOf(vm: VmId): number {
  let hash = hashes.get(vm);
  if (hash === undefined) {
    if (hashes.size >= MAX_MEMBERS) hashes.clear();
    hash = fnv1aHash(vm);
    hashes.set(vm, hash);
  }
  return hash;
}
