import type { PeerCard } from "../peers/peer_message.ts";

/** Most addresses that one response lists. */
const MAX_ENTRIES = 64;
/** Least number of daemons in a group before it is preferred, so that the caller keeps one if another fails. */
const MIN_ENTRIES = 2;

/** The failure domain and region of a caller, as far as they are given. */
export type CallerLocation = Readonly<{ domain?: string; region?: string }>;

/**
 * Returns the client addresses (`front`) of the daemons that a caller should use: those of its failure domain, else of
 * its region, else all. Slow daemons are listed only if fewer than `MIN_ENTRIES` others are open in the domain and in
 * the region.
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
