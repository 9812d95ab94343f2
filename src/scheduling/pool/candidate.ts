import type { UpstreamId } from "../../core/id.ts";
import type { Millis, Timestamp } from "../../core/time.ts";
import type { EnginePace } from "./engine_pace.ts";
import type { PlacementRequest } from "./pool_job.ts";
import type { UpstreamLoad } from "./upstream_load.ts";

/** An upstream that a request may be placed on. */
export type Candidate = Readonly<{
  id: UpstreamId;
  domain: string;
  /** Requests that the upstream runs at a time. */
  slots: number;
  load: UpstreamLoad;
}>;

/** A placement request with the upstreams to choose from. */
export type PlacementInput = Readonly<{
  ask: PlacementRequest;
  candidates: readonly Candidate[];
  now: Timestamp;
}>;

/** Input for placing a prompt, with the timing of the service's engines. */
export type PromptInput = PlacementInput & Readonly<{ pace: EnginePace }>;

/** Ranks an upstream of another failure domain behind an equal local one: traffic between domains has a cost. */
const CROSS_DOMAIN_PENALTY_MS: Millis = 6;
/** Predicted time that is added for each recent failure of an upstream. */
const FAILURE_PENALTY_MS: Millis = 250;

/** Time that is added to a prediction for recent failures of an upstream and for another failure domain. */
export function penaltyMs(input: PlacementInput, candidate: Candidate): Millis {
  const { ask, now } = input;
  const domainPenaltyMs = candidate.domain === ask.domain
    ? 0
    : CROSS_DOMAIN_PENALTY_MS;
  return domainPenaltyMs +
    candidate.load.recentFailures(now) * FAILURE_PENALTY_MS;
}
