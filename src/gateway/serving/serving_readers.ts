import type { VmId } from "../../core/id.ts";
import { fnv1aHash } from "../../core/fnv1a.ts";
import { bestLeaders } from "../members/member_table.ts";
import type { PeerCard } from "../peers/peer_message.ts";

/** Daemons per failure domain that read the configuration from the store: two, so that one may fail. */
export const READERS_PER_DOMAIN = 2;

/**
 * The daemons of one failure domain that read the configuration from the store: the strongest ones that are open.
 * Load pattern: hundreds of daemons and a series of versions. If each daemon kept a long poll open, the store would
 * send each version to every daemon; instead, the others fetch it from a reader of their own domain.
 */
export function servingReaders(
  cards: readonly PeerCard[],
  domain: PeerCard["domain"],
): readonly PeerCard[] {
  const own = cards.filter((card) => card.open && card.domain === domain);
  return bestLeaders(own, READERS_PER_DOMAIN);
}

/**
 * The peer from which a daemon fetches a version: the readers of its domain in turn, then the daemon that announced it.
 * Daemons start with different readers, since all daemons of a domain fetch at the same time.
 */
export function fetchSource(
  readers: readonly PeerCard[],
  options: Readonly<{
    self: VmId;
    announcer: PeerCard;
    attempt: number;
    /** Skipped if another reader is available, to keep its link and processor free for placing requests. */
    leader: VmId;
  }>,
): PeerCard {
  const { self, announcer, attempt, leader } = options;
  const others = readers.filter(({ vm }) => vm !== self && vm !== leader);
  if (attempt >= others.length) return announcer;
  return others[(fnv1aHash(self) + attempt) % others.length]!;
}
