import type { ServiceId, UpstreamId } from "../../core/id.ts";
import type { Millis, Timestamp } from "../../core/time.ts";
import type {
  ClosedUpstream,
  PoolAsk,
} from "../../scheduling/pool/pool_job.ts";
import type { GatewayBoard } from "../gateway_board.ts";
import type { UpstreamClosure } from "./self_reported_closures.ts";
import type { UpstreamEntry } from "./upstream_table.ts";

/** Closed upstreams that an ask names at most; with more, most of the largest service is closed. */
const MAX_CLOSED = 256;

/**
 * Whether an upstream may be sent something new by this daemon, and if not, why: by the register, by what it has said
 * itself, whichever is stricter. Every path that sends or places asks here.
 */
export function findClosure(
  board: GatewayBoard,
  id: UpstreamId,
  now: Timestamp,
): UpstreamClosure | undefined {
  const { register, gate } = board;
  const entry = register.table.get(id);
  const reported = gate.told.closure(id, register.table.startedAt(id), now);
  if (reported?.reason === "draining") return reported;
  const knownAt = register.asOf;
  if (register.table.isGone(id)) return { reason: "gone", knownAt };
  if (entry?.leaving === true) return { reason: "draining", knownAt };
  return reported;
}

/** The upstreams of a service that are listed but closed to this daemon. */
export function closedUpstreams(
  board: GatewayBoard,
  service: ServiceId,
  now: Timestamp,
): readonly ClosedUpstream[] {
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

/** The upstreams that an ask may be placed on: open here, and to the daemon that asks. */
export function placeableUpstreams(
  board: GatewayBoard,
  ask: PoolAsk,
  now: Timestamp,
): readonly UpstreamEntry[] {
  const closed = new Set(ask.closed.map((entry) => entry.upstream));
  return board.register.table.open(ask.service).filter(({ id }) =>
    !closed.has(id) &&
    // For how long an upstream wants nothing from this daemon does not concern the others.
    findClosure(board, id, now)?.reason !== "draining"
  );
}

/** Time until the first upstream opens again to the daemon that asks; nothing where none will. */
export function reopensInMs(ask: PoolAsk): Millis | undefined {
  const delaysMs = ask.closed.flatMap(({ forMs }) => forMs ?? []);
  return delaysMs.length === 0 ? undefined : Math.min(...delaysMs);
}
