import type { UpstreamId } from "../../core/id.ts";
import type { Millis, Timestamp } from "../../core/time.ts";
import type { PlacementRequest, PoolGrant, PoolJob } from "./pool_job.ts";

/** Lowest priority inside an engine. */
const LOWEST_PRIORITY = 9;

/** An upstream that may serve a request, from the configuration and the register. */
export type PoolMember = Readonly<{
  id: UpstreamId;
  /** Host and port. */
  address: string;
  domain: string;
  slots: number;
}>;

/** The job of a request that is placed at `now`. */
export function jobOf(
  ask: PlacementRequest,
  now: Timestamp,
  place: Pick<PoolJob, "upstream" | "partMs"> & Partial<PoolJob>,
): PoolJob {
  return {
    id: ask.job,
    vm: ask.vm,
    service: ask.service,
    team: ask.team,
    kind: ask.kind,
    helpers: [],
    tickets: [],
    tokens: ask.promptTokens + ask.answerTokens,
    pauseMs: ask.pauseMs,
    writing: false,
    ...(ask.leadingParts === undefined
      ? {}
      : { leadingParts: ask.leadingParts }),
    placedAt: now,
    ...place,
  };
}

/** The grant for a placed job, with the addresses of the upstreams that take part. */
export function grantOf(
  job: PoolJob,
  req: Readonly<{ ask: PlacementRequest; members: readonly PoolMember[] }>,
  expectMs: Millis = 0,
): PoolGrant {
  const addresses: Record<UpstreamId, string> = {};
  for (const member of req.members) {
    const takesPart = member.id === job.upstream ||
      job.helpers.includes(member.id);
    if (takesPart) addresses[member.id] = member.address;
  }
  const splitPenalty = job.helpers.length > 0 ? 1 : 0;
  const priority = Math.min(LOWEST_PRIORITY, 2 * req.ask.rank + splitPenalty);
  return { job, addresses, priority, expectMs };
}
