import type { VmId } from "../../core/id.ts";
import type { Millis, Timestamp } from "../../core/time.ts";
import type { PeerCard } from "../peers/peer_message.ts";
import { NO_ROSTER, type RosterPosition, type RosterUpdate } from "./roster.ts";

/** What is known of another daemon. */
type Member = {
  card: PeerCard;
  /** When it was last heard from. */
  lastMessageAt: Timestamp;
  /** When another daemon last said that it had heard from it. */
  lastListedAt: Timestamp;
};

const NEVER = -Infinity as Timestamp;

/** Members that are remembered at most, the silent ones included. */
const MAX_MEMBERS = 1_024;

/** Daemons of the system, those heard from and those heard of. */
export class MemberTable {
  readonly #self: VmId;
  readonly #members = new Map<VmId, Member>();
  #position = NO_ROSTER;

  private constructor(self: VmId) {
    this.#self = self;
  }

  static create(self: VmId): MemberTable {
    return new MemberTable(self);
  }

  /** Applies a card that its daemon sent itself. */
  recordMessage(
    card: PeerCard,
    now: Timestamp,
  ): "joined" | "restarted" | "known" {
    const change = this.#upsert(card);
    const known = this.#members.get(card.vm);
    if (known !== undefined) known.lastMessageAt = now;
    return change;
  }

  /** Updates the daemons that another one vouches for; an update that doesn't follow what is known is ignored. */
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
      else if (member.lastListedAt !== NEVER) member.lastListedAt = now;
    }
    for (const card of joined) {
      this.#upsert(card);
      const known = this.#members.get(card.vm);
      if (known !== undefined) known.lastListedAt = now;
    }
    this.#position = { epoch, seq };
  }

  /** How far the leader's list is known. */
  get position(): RosterPosition {
    return this.#position;
  }

  /** Takes back that a daemon lives, until it is heard from again. */
  markDown(vm: VmId): void {
    const known = this.#members.get(vm);
    if (known === undefined) return;
    known.lastMessageAt = NEVER;
    known.lastListedAt = NEVER;
  }

  get(vm: VmId): PeerCard | undefined {
    return this.#members.get(vm)?.card;
  }

  /** When a daemon itself was last heard from. */
  lastMessageAt(vm: VmId): Timestamp {
    return this.#members.get(vm)?.lastMessageAt ?? NEVER;
  }

  /** Daemons that were themselves heard from within `ms`. */
  directlyLive(now: Timestamp, ms: Millis): readonly PeerCard[] {
    return this.#select((member) => now - member.lastMessageAt <= ms);
  }

  /** Daemons that were heard from, here or by another one, within `ms`. */
  live(now: Timestamp, ms: Millis): readonly PeerCard[] {
    return this.#select((member) =>
      now - Math.max(member.lastMessageAt, member.lastListedAt) <= ms
    );
  }

  /** All daemons ever heard of and not yet forgotten. */
  all(): readonly PeerCard[] {
    return [...this.#members.values()].map((member) => member.card);
  }

  #upsert(card: PeerCard): "joined" | "restarted" | "known" {
    if (card.vm === this.#self) return "known";
    const known = this.#members.get(card.vm);
    if (known === undefined) {
      if (this.#members.size >= MAX_MEMBERS) this.#evictOldest();
      this.#members.set(card.vm, {
        card,
        lastMessageAt: NEVER,
        lastListedAt: NEVER,
      });
      return "joined";
    }
    if (card.startedAt < known.card.startedAt) return "known";
    const restarted = card.startedAt > known.card.startedAt;
    known.card = card;
    return restarted ? "restarted" : "known";
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
    if (oldest !== undefined) this.#members.delete(oldest[0]);
  }
}

/**
 * Orders daemons by who should place for all: slow ones last, else the strongest first, then by a hash that spreads
 * over domains.
 */
export function compareLeaders(a: PeerCard, b: PeerCard): number {
  return Number(a.slow) - Number(b.slow) || b.power - a.power ||
    fnv1aHash(a.vm) - fnv1aHash(b.vm) ||
    (a.vm < b.vm ? -1 : a.vm > b.vm ? 1 : 0);
}

/** FNV-1a, 32 bits. */
export function fnv1aHash(text: string): number {
  let value = 0x811c9dc5;
  for (let i = 0; i < text.length; i += 1) {
    value = Math.imul(value ^ text.charCodeAt(i), 0x01000193);
  }
  return value >>> 0;
}
