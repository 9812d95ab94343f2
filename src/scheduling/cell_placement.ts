import type {
  DaemonId,
  Digest,
  RequestId,
  TeamId,
  UpstreamId,
} from "../core/id.ts";
import type { Placement, Weights } from "../core/request.ts";
import type { Problem } from "../core/problem.ts";
import type { Timestamp } from "../core/time.ts";

/** One prompt that wants a place, as the scheduling daemon sees it. */
export type CellPlacementRequest = Readonly<{
  request: RequestId;
  /** Grows each time that the request asks again after a failed attempt. */
  round: number;
  /** The daemon that asks. */
  from: DaemonId;
  team: TeamId;
  weights: Weights;
  promptTokens: number;
  maxTokens: number;
  urgency: number;
  arrivedAt: Timestamp;
  deadlineAt: Timestamp;
  digest: Digest;
  blocks: readonly Digest[];
  /** Upstreams that have failed this request already. */
  excluded: readonly UpstreamId[];
  /** Whether an engine crashed while it ran this content. */
  suspect: boolean;
}>;

/** The answer to an ask; a prompt that waits has none yet. */
export type CellPlacementResult =
  | Readonly<{ type: "granted"; placement: Placement }>
  | Readonly<{ type: "refused"; problem: Problem }>
  | Readonly<{ type: "queued" }>;

/** An answer and the ask that it belongs to. */
export type CellPlacementDecision = Readonly<
  { ask: CellPlacementRequest; answer: CellPlacementResult }
>;
