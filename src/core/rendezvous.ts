import { createHash } from "node:crypto";

/** Returns the candidate with the highest hash with `key`; all daemons that see the same candidates agree. */
export function rendezvous<Id extends string>(
  key: string,
  candidates: Iterable<Id>,
): Id | undefined {
  let best: Id | undefined;
  let bestScore = "";
  for (const candidate of candidates) {
    const score = createHash("sha1").update(`${key}\n${candidate}`).digest(
      "hex",
    );
    if (best === undefined || score > bestScore) {
      best = candidate;
      bestScore = score;
    }
  }
  return best;
}
