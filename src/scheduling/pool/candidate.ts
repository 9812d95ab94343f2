import type { UpstreamId } from "../../core/id.ts";
import type { Millis, Timestamp } from "../../core/time.ts";
import type { EnginePace } from "./engine_pace.ts";
import type { PlacementRequest } from "./pool_job.ts";
import type { UpstreamLoad } from "./upstream_load.ts";

/** An upstream that may take a request. */
export type Candidate = Readonly<{
  id: UpstreamId;
  domain: string;
  /** Requests that it runs at a time. */
  slots: number;
  load: UpstreamLoad;
}>;

/** What a placement is chosen from. */
export type PlacementInput = Readonly<{
  ask: PlacementRequest;
  candidates: readonly Candidate[];
  now: Timestamp;
}>;

/** What a prompt is placed with besides. */
export type PromptInput = PlacementInput & Readonly<{ pace: EnginePace }>;

/** Ranks an upstream of another failure domain behind an equal one: bytes between domains cost. */
const CROSS_DOMAIN_PENALTY_MS: Millis = 6;
/** What a recent failure of an upstream counts as in predicted time. */
const FAILURE_PENALTY_MS: Millis = 250;

/** Time that is added to a prediction for what may go wrong at an upstream, and for distance. */
export function penaltyMs(input: PlacementInput, candidate: Candidate): Millis {
  const { ask, now } = input;
  const domainPenaltyMs = candidate.domain === ask.domain
    ? 0
    : CROSS_DOMAIN_PENALTY_MS;
  return domainPenaltyMs +
    candidate.load.recentFailures(now) * FAILURE_PENALTY_MS;
}
