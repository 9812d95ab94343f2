import type { Blackboard } from "../board/blackboard.ts";
import type { UpstreamId } from "../core/id.ts";

/** Names the run of an upstream that is known here; an empty name for one that isn't listed. */
export function incarnationOf(board: Blackboard, upstream: UpstreamId): string {
  return board.upstreams.byId.get(upstream)?.incarnation ?? "";
}
