import type { PeerCard } from "../peers/peer_message.ts";

/** Entries that one answer holds at most. */
const MAX_ENTRIES = 64;
/** Entries near the caller that are enough for it, so that the loss of one leaves another. */
const MIN_ENTRIES = 2;

/** Where a caller is. */
export type CallerLocation = Readonly<{ domain?: string; region?: string }>;

/**
 * Chooses the daemons that a caller should use: those of its failure domain, or else of its region, or else all; slow
 * ones only where too few others are open.
 */
export function chooseEntries(
  cards: readonly PeerCard[],
  caller: CallerLocation,
): readonly string[] {
  const open = cards.filter((card) => card.open);
  const inDomain = open.filter((card) => card.domain === caller.domain);
  const inRegion = open.filter((card) => card.region === caller.region);
  const withoutSlow = (candidates: readonly PeerCard[]) =>
    candidates.filter((card) => !card.slow);
  const chosen =
    [withoutSlow(inDomain), withoutSlow(inRegion), inDomain, inRegion]
      .find((group) => group.length >= MIN_ENTRIES) ?? open;
  return chosen.slice(0, MAX_ENTRIES).map((card) => card.front);
}
