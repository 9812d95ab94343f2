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

/** Request of a daemon for the placement of one prompt. */
export type CellPlacementRequest = Readonly<{
  request: RequestId;
  /** Number of the placement round; incremented for each new attempt of the request. */
  round: number;
  /** The daemon that serves the request. */
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
  /** Whether this content may have crashed an engine. */
  suspect: boolean;
}>;

/** Result of a placement request; after `queued`, a final result follows. */
export type CellPlacementResult =
  | Readonly<{ type: "granted"; placement: Placement }>
  | Readonly<{ type: "refused"; problem: Problem }>
  | Readonly<{ type: "queued" }>;

/** Whether a prompt may be placed now, with the request to place it by; otherwise its result. */
export type GateDecision =
  | Readonly<{ type: "run"; ask: CellPlacementRequest }>
  | Exclude<CellPlacementResult, { type: "granted" }>;

/** A placement request and its result. */
export type CellPlacementDecision = Readonly<
  { ask: CellPlacementRequest; answer: CellPlacementResult }
>;
