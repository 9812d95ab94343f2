import { createHash } from "node:crypto";

/** Rendezvous hashing: returns the candidate whose hash with `key` is highest, the same on all daemons with the same candidates. */
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

/** Returns how many of the others rank before `self` for `key`; 0 for the first choice. */
export function rendezvousRank<Id extends string>(
  key: string,
  self: Id,
  others: Iterable<Id>,
): number {
  const own = scoreOf(key, self);
  return [...others].filter((other) => scoreOf(key, other) > own).length;
}

function scoreOf(key: string, candidate: string): string {
  return createHash("sha1").update(`${key}\n${candidate}`).digest("hex");
}
