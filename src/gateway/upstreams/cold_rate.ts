import type { UpstreamId } from "../../core/id.ts";
import type { Timestamp } from "../../core/time.ts";
import type { GatewayBoard } from "../gateway_board.ts";
import type { UpstreamEntry } from "./upstream_table.ts";

/** The rate per second that a service states for its cold upstreams. */
export function coldRateOf(
  { register, serving }: GatewayBoard,
  id: UpstreamId,
): number | undefined {
  const service = register.table.get(id)?.service;
  if (service === undefined) return undefined;
  return serving.routes?.serving.services.get(service)?.coldRate;
}

/** Whether an upstream is cold, and its service states a rate for that. */
export function isColdLimited(
  board: GatewayBoard,
  id: UpstreamId,
  now: Timestamp,
): boolean {
  return board.gate.cold.remainingMs(id, now) !== undefined &&
    coldRateOf(board, id) !== undefined;
}

/** The register's entries with the time for which each is still cold, which it was longer when it was written. */
export function entriesWithColdTime(
  { register, gate }: GatewayBoard,
  now: Timestamp,
): readonly UpstreamEntry[] {
  return register.table.all().map((entry) => {
    const remainingMs = gate.cold.remainingMs(entry.id, now);
    if (remainingMs === undefined && entry.coldMs === undefined) return entry;
    const { coldMs: _coldMs, ...warm } = entry;
    if (remainingMs === undefined) return warm;
    return { ...warm, coldMs: Math.round(remainingMs) };
  });
}
