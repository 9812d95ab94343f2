import type { VmId } from "../core/id.ts";
import type { Millis, Timestamp } from "../core/time.ts";
import type { PeerCard } from "./peer_message.ts";

/** What is known of another daemon. */
type Member = {
  card: PeerCard;
  /** When it was last heard from. */
  heardAt: Timestamp;
  /** When another daemon last said that it had heard from it. */
  vouchedAt: Timestamp;
};

const NEVER = -Infinity as Timestamp;

/** Members that are remembered at most, the silent ones included. */
const MAX_MEMBERS = 1_024;

/** Daemons of the system, those heard from and those heard of. */
export class MemberTable {
  readonly #self: VmId;
  readonly #members = new Map<VmId, Member>();

  private constructor(self: VmId) {
    this.#self = self;
  }

  static create(self: VmId): MemberTable {
    return new MemberTable(self);
  }

  /** Takes in a card that its daemon sent itself. */
  hear(card: PeerCard, now: Timestamp): "joined" | "restarted" | "known" {
    const news = this.#take(card);
    const known = this.#members.get(card.vm);
    if (known !== undefined) known.heardAt = now;
    return news;
  }

  /** Takes in the list of all daemons that another one has heard from lately. */
  vouchAll(cards: readonly PeerCard[], now: Timestamp): void {
    for (const one of this.#members.values()) one.vouchedAt = NEVER;
    for (const card of cards) {
      this.#take(card);
      const known = this.#members.get(card.vm);
      if (known !== undefined) known.vouchedAt = now;
    }
  }

  /** Takes in that the list that was vouched for is still the same. */
  renewVouched(now: Timestamp): void {
    for (const one of this.#members.values()) {
      if (one.vouchedAt !== NEVER) one.vouchedAt = now;
    }
  }

  /** Takes back that a daemon lives, until it is heard from again. */
  silence(vm: VmId): void {
    const known = this.#members.get(vm);
    if (known === undefined) return;
    known.heardAt = NEVER;
    known.vouchedAt = NEVER;
  }

  get(vm: VmId): PeerCard | undefined {
    return this.#members.get(vm)?.card;
  }

  /** When a daemon itself was last heard from. */
  heardAt(vm: VmId): Timestamp {
    return this.#members.get(vm)?.heardAt ?? NEVER;
  }

  /** Daemons that were themselves heard from within `ms`. */
  heard(now: Timestamp, ms: Millis): readonly PeerCard[] {
    return this.#select((one) => now - one.heardAt <= ms);
  }

  /** Daemons that were heard from, here or by another one, within `ms`. */
  live(now: Timestamp, ms: Millis): readonly PeerCard[] {
    return this.#select((one) =>
      now - Math.max(one.heardAt, one.vouchedAt) <= ms
    );
  }

  /** All daemons ever heard of and not yet forgotten. */
  all(): readonly PeerCard[] {
    return [...this.#members.values()].map((one) => one.card);
  }

  #take(card: PeerCard): "joined" | "restarted" | "known" {
    if (card.vm === this.#self) return "known";
    const known = this.#members.get(card.vm);
    if (known === undefined) {
      if (this.#members.size >= MAX_MEMBERS) this.#dropOldest();
      this.#members.set(card.vm, { card, heardAt: NEVER, vouchedAt: NEVER });
      return "joined";
    }
    if (card.startedAt < known.card.startedAt) return "known";
    const restarted = card.startedAt > known.card.startedAt;
    known.card = card;
    return restarted ? "restarted" : "known";
  }

  #select(test: (one: Member) => boolean): readonly PeerCard[] {
    const cards: PeerCard[] = [];
    for (const one of this.#members.values()) {
      if (test(one)) cards.push(one.card);
    }
    return cards;
  }

  #dropOldest(): void {
    let oldest: [VmId, Member] | undefined;
    for (const entry of this.#members) {
      if (oldest === undefined || entry[1].heardAt < oldest[1].heardAt) {
        oldest = entry;
      }
    }
    if (oldest !== undefined) this.#members.delete(oldest[0]);
  }
}

/** Orders daemons by who should place for all: the strongest first, then by a hash that spreads over domains. */
export function compareLeaders(a: PeerCard, b: PeerCard): number {
  return b.power - a.power || hash(a.vm) - hash(b.vm) ||
    (a.vm < b.vm ? -1 : a.vm > b.vm ? 1 : 0);
}

/** Digest of a list of members, to see whether two daemons have the same one. */
export function digestMembers(cards: readonly PeerCard[]): number {
  let sum = 0;
  for (const card of cards) {
    sum = (sum + hash(`${card.vm}/${card.startedAt}/${card.open}`)) >>> 0;
  }
  return sum;
}

/** FNV-1a, 32 bits. */
export function hash(text: string): number {
  let value = 0x811c9dc5;
  for (let i = 0; i < text.length; i += 1) {
    value = Math.imul(value ^ text.charCodeAt(i), 0x01000193);
  }
  return value >>> 0;
}
