import type { Blackboard } from "../board/blackboard.ts";
import type { UpstreamId } from "../core/id.ts";

/** Returns the known incarnation of an upstream, or an empty string for an upstream that isn't listed. */
export function incarnationOf(board: Blackboard, upstream: UpstreamId): string {
  return board.upstreams.byId.get(upstream)?.incarnation ?? "";
}
