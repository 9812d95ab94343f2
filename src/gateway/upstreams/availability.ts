import type { ServiceId, UpstreamId } from "../../core/id.ts";
import type { Millis, Timestamp } from "../../core/time.ts";
import type {
  ClosedUpstream,
  PoolAsk,
} from "../../scheduling/pool/pool_job.ts";
import type { GatewayBoard } from "../gateway_board.ts";
import type { Closure } from "./upstream_gate.ts";
import type { UpstreamEntry } from "./upstream_table.ts";

/** Closed upstreams that an ask names at most; with more, most of the largest service is closed. */
const MAX_CLOSED = 256;

/**
 * Whether an upstream may be sent something new by this daemon, and if not, why: by the register, by what it has said
 * itself, whichever is stricter. Every path that sends or places asks here.
 */
export function closureOf(
  board: GatewayBoard,
  id: UpstreamId,
  now: Timestamp,
): Closure | undefined {
  const { register, gate } = board;
  const entry = register.table.get(id);
  const told = gate.closures.closure(id, register.table.startedAt(id), now);
  if (told?.reason === "draining") return told;
  const knownAt = register.asOf;
  if (register.table.isGone(id)) return { reason: "gone", knownAt };
  if (entry?.leaving === true) return { reason: "draining", knownAt };
  return told;
}

/** The upstreams of a service that are listed but closed to this daemon. */
export function closedUpstreams(
  board: GatewayBoard,
  service: ServiceId,
  now: Timestamp,
): readonly ClosedUpstream[] {
  const closed: ClosedUpstream[] = [];
  for (const { id } of board.register.table.open(service)) {
    const closure = closureOf(board, id, now);
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
export function openTo(
  board: GatewayBoard,
  ask: PoolAsk,
  now: Timestamp,
): readonly UpstreamEntry[] {
  const closed = new Set(ask.closed.map((one) => one.upstream));
  return board.register.table.open(ask.service).filter(({ id }) =>
    !closed.has(id) &&
    // For how long an upstream wants nothing from this daemon does not concern the others.
    closureOf(board, id, now)?.reason !== "draining"
  );
}

/** Time until the first upstream opens again to the daemon that asks; nothing where none will. */
export function reopensInMs(ask: PoolAsk): Millis | undefined {
  const times = ask.closed.flatMap(({ forMs }) => forMs ?? []);
  return times.length === 0 ? undefined : Math.min(...times);
}
