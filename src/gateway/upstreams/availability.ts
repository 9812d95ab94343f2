import type { ServiceId, UpstreamId } from "../../core/id.ts";
import type { Millis, Timestamp } from "../../core/time.ts";
import type {
  ClosedUpstream,
  PlacementRequest,
  PoolGrant,
} from "../../scheduling/pool/pool_job.ts";
import type { GatewayBoard } from "../gateway_board.ts";
import { isColdLimited } from "./cold_rate.ts";
import type { UpstreamClosure } from "./self_reported_closures.ts";
import type { UpstreamEntry } from "./upstream_table.ts";

/** Reasons that close an upstream to all daemons, not only to this one. */
const CLOSED_TO_ALL = new Set<UpstreamClosure["reason"] | undefined>([
  "draining",
  "evacuated",
]);
/** Closed upstreams listed in a placement request; beyond this number most of the largest service is closed. */
const MAX_CLOSED = 256;

/**
 * Why this daemon may send an upstream nothing new: by the register, the operator's evacuations, or the upstream's own
 * responses, whichever is strictest. Undefined where the upstream is open. Every path that sends or places requests calls this.
 */
export function findClosure(
  board: GatewayBoard,
  id: UpstreamId,
  now: Timestamp,
): UpstreamClosure | undefined {
  const { register, gate, serving } = board;
  const entry = register.table.get(id);
  const reported = gate.closures.closure(id, register.table.startedAt(id), now);
  if (reported?.reason === "draining") return reported;
  const knownAt = register.asOf;
  if (register.table.isGone(id)) return { reason: "gone", knownAt };
  if (entry?.leaving === true) return { reason: "draining", knownAt };
  if (entry !== undefined && serving.evacuated.has(entry.domain)) {
    return { reason: "evacuated", knownAt: serving.asOf };
  }
  return reported;
}

/**
 * Why a grant may not be used: one of its upstreams is closed, or limits its rate and the grant was not counted against
 * it. Undefined where it may.
 */
export function findGrantClosure(
  board: GatewayBoard,
  grant: PoolGrant,
  now: Timestamp,
): UpstreamClosure & Readonly<{ upstream: UpstreamId }> | undefined {
  const { job, counted } = grant;
  for (const upstream of [job.upstream, ...job.helpers]) {
    const closure = findClosure(board, upstream, now);
    if (closure !== undefined) return { ...closure, upstream };
    const rate = board.gate.rates.get(upstream);
    const isCounted = counted === true && upstream === job.upstream;
    const isLimited = rate !== undefined || isColdLimited(board, upstream, now);
    if (!isLimited || isCounted) continue;
    const knownAt = rate?.namedAt ?? now;
    return { reason: "uncounted", knownAt, upstream };
  }
  return undefined;
}

/** Whether any listed upstream that isn't leaving may be closed; in calm none is, and thousands needn't be asked. */
function hasClosures({ gate, serving }: GatewayBoard): boolean {
  return gate.closures.size > 0 || serving.evacuated.size > 0;
}

/** The upstreams of a service that are listed but closed to this daemon. */
export function closedUpstreams(
  board: GatewayBoard,
  service: ServiceId,
  now: Timestamp,
): readonly ClosedUpstream[] {
  if (!hasClosures(board)) return [];
  const closed: ClosedUpstream[] = [];
  for (const { id } of board.register.table.open(service)) {
    const closure = findClosure(board, id, now);
    if (closure === undefined || closed.length >= MAX_CLOSED) continue;
    const { until } = closure;
    closed.push(
      until === undefined
        ? { upstream: id }
        : { upstream: id, forMs: Math.ceil(until - now) },
    );
  }
  return closed;
}

/** Upstreams that a request may be placed on: open here, and to the daemon that sent the placement request. */
export function placeableUpstreams(
  board: GatewayBoard,
  ask: PlacementRequest,
  now: Timestamp,
): readonly UpstreamEntry[] {
  const open = board.register.table.open(ask.service);
  if (ask.closed.length === 0 && !hasClosures(board)) return open;
  const closed = new Set(ask.closed.map((entry) => entry.upstream));
  return open.filter(({ id }) =>
    !closed.has(id) &&
    // A back-off applies only to the daemon that got it, so it does not close the upstream to others.
    !CLOSED_TO_ALL.has(findClosure(board, id, now)?.reason)
  );
}

/** Time until the first closed upstream opens again to the requesting daemon; undefined where none has such a time. */
export function reopensInMs(ask: PlacementRequest): Millis | undefined {
  const delaysMs = ask.closed.flatMap(({ forMs }) => forMs ?? []);
  return delaysMs.length === 0 ? undefined : Math.min(...delaysMs);
}
