import type { PeerCard } from "../peers/peer_message.ts";

/** Entries that one answer holds at most. */
const MAX_ENTRIES = 64;
/** Entries near the caller that are enough for it, so that the loss of one leaves another. */
const ENOUGH = 2;

/** Where a caller is. */
export type CallerPlace = Readonly<{ domain?: string; region?: string }>;

/**
 * Chooses the daemons that a caller should use: those of its failure domain, or else of its region, or else all; slow
 * ones only where too few others are open.
 */
export function chooseEntries(
  cards: readonly PeerCard[],
  caller: CallerPlace,
): readonly string[] {
  const open = cards.filter((one) => one.open);
  const near = open.filter((one) => one.domain === caller.domain);
  const around = open.filter((one) => one.region === caller.region);
  const sound = (some: readonly PeerCard[]) => some.filter((one) => !one.slow);
  const chosen = [sound(near), sound(around), near, around]
    .find((one) => one.length >= ENOUGH) ?? open;
  return chosen.slice(0, MAX_ENTRIES).map((one) => one.front);
}
