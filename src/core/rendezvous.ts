import { createHash } from "node:crypto";

/** Returns the candidate with the highest hash with `key`; all daemons that see the same candidates agree. */
export function rendezvous<Id extends string>(
  key: string,
  candidates: Iterable<Id>,
): Id | undefined {
  let best: Id | undefined;
  let bestScore = "";
  for (const candidate of candidates) {
    const score = scoreOf(key, candidate);
    if (best === undefined || score > bestScore) {
      best = candidate;
      bestScore = score;
    }
  }
  return best;
}

/** Returns how many of the others come before `self` for `key`; 0 for the first choice. */
export function rendezvousRank<Id extends string>(
  key: string,
  self: Id,
  others: Iterable<Id>,
): number {
  const own = scoreOf(key, self);
  return [...others].filter((one) => scoreOf(key, one) > own).length;
}

function scoreOf(key: string, candidate: string): string {
  return createHash("sha1").update(`${key}\n${candidate}`).digest("hex");
}
