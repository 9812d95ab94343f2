import type { Blackboard } from "../board/blackboard.ts";
import type { PlacementOutcome } from "../board/placement_section.ts";
import type { RequestEntry } from "../board/requests_section.ts";
import type { Upstream } from "../board/upstreams_section.ts";
import type { CallRequest } from "../core/request.ts";
import { problem } from "../core/problem.ts";
import { SECOND_MS } from "../core/time.ts";

/** Places a call on the live instance of its service that runs the fewest attempts of this daemon. */
export function placeCall(
  board: Blackboard,
  entry: RequestEntry,
  req: CallRequest,
): PlacementOutcome {
  const { round } = entry;
  let best: Upstream | undefined;
  let lowestCount = Infinity;
  for (const upstream of board.upstreams.byId.values()) {
    if (!canServe(upstream, entry, req)) continue;
    const count = countAttemptsOn(board, upstream);
    if (count < lowestCount) [best, lowestCount] = [upstream, count];
  }
  if (best !== undefined) {
    const placement = { upstream: best.id, priority: 0 };
    return { type: "granted", round, placement };
  }
  const detail = "No live instance of the service can serve this call now.";
  return {
    type: "refused",
    round,
    problem: problem("no_upstream", detail, { retryAfterMs: SECOND_MS }),
  };
}

function canServe(
  upstream: Upstream,
  entry: RequestEntry,
  req: CallRequest,
): boolean {
  return upstream.kind === "service" && upstream.state === "live" &&
    upstream.service === req.service && !entry.excluded.includes(upstream.id);
}

function countAttemptsOn(board: Blackboard, upstream: Upstream): number {
  let count = 0;
  for (const entry of board.requests.byId.values()) {
    if (entry.attempt?.placement.upstream === upstream.id) count += 1;
  }
  return count;
}
