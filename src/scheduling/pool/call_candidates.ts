import { fnv1aHash } from "../../core/fnv1a.ts";
import type { PlacementRequest } from "./pool_job.ts";

/** Instances of the own failure domain, and of the others, that a call is compared on. */
const MAX_PER_SIDE = 48;

/**
 * The instances that a call is compared on: all of a small service, a sample of a large one that differs for each call.
 * Load pattern: hundreds of daemons send a thousand calls a second to a service of thousands of instances. To compare
 * all for each call would take the placing daemon longer than the calls leave it; the least loaded of a hundred is
 * hardly worse than that of all.
 */
export function callCandidates<T extends Readonly<{ domain: string }>>(
  members: readonly T[],
  ask: Pick<PlacementRequest, "job" | "domain">,
): readonly T[] {
  if (members.length <= 2 * MAX_PER_SIDE) return members;
  const start = fnv1aHash(ask.job) % members.length;
  const local: T[] = [];
  const others: T[] = [];
  for (let i = 0; i < members.length; i += 1) {
    const member = members[(start + i) % members.length]!;
    const side = member.domain === ask.domain ? local : others;
    if (side.length < MAX_PER_SIDE) side.push(member);
    const isFull = local.length + others.length === 2 * MAX_PER_SIDE;
    if (isFull) break;
  }
  return [...local, ...others];
}
