import type { VmId } from "../../core/id.ts";
import { compareLeaders, hash } from "../members/member_table.ts";
import type { PeerCard } from "../peers/peer_message.ts";

/** Daemons of a failure domain that read the configuration from the store, so that the loss of one leaves another. */
export const READERS_PER_DOMAIN = 2;

/**
 * The daemons of one failure domain that read the configuration from the store: the strongest of those that are open.
 * Load pattern: hundreds of daemons and a series of versions. If each daemon kept a reading open, every version would
 * cost the store as many answers as there are daemons; the others fetch it from a reader of their own domain.
 */
export function servingReaders(
  cards: readonly PeerCard[],
  domain: PeerCard["domain"],
): readonly PeerCard[] {
  return cards.filter((card) => card.open && card.domain === domain)
    .sort(compareLeaders).slice(0, READERS_PER_DOMAIN);
}

/**
 * Where a daemon fetches a version: from the readers of its domain in turn, then from the one that announced it.
 * Daemons begin with different readers, as all of a domain fetch at the same moment.
 */
export function fetchSource(
  readers: readonly PeerCard[],
  options: Readonly<{
    self: VmId;
    announcer: PeerCard;
    attempt: number;
    /** Places for all: its link and its processor are left to that where another reader is there. */
    leader: VmId;
  }>,
): PeerCard {
  const { self, announcer, attempt, leader } = options;
  const others = readers.filter(({ vm }) => vm !== self && vm !== leader);
  if (attempt >= others.length) return announcer;
  return others[(hash(self) + attempt) % others.length]!;
}
