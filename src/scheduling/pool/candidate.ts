import type { UpstreamId } from "../../core/id.ts";
import type { Millis, Timestamp } from "../../core/time.ts";
import type { EnginePace } from "./engine_pace.ts";
import type { PoolAsk } from "./pool_job.ts";
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
export type Choice = Readonly<{
  ask: PoolAsk;
  candidates: readonly Candidate[];
  now: Timestamp;
}>;

/** What a prompt is placed with besides. */
export type PromptChoice = Choice & Readonly<{ pace: EnginePace }>;

/** Ranks an upstream of another failure domain behind an equal one: bytes between domains cost. */
const OTHER_DOMAIN_MS: Millis = 6;
/** What a recent failure of an upstream counts as in predicted time. */
const FAULT_MS: Millis = 250;

/** Time that is added to a prediction for what may go wrong at an upstream, and for distance. */
export function penaltyMs(choice: Choice, one: Candidate): Millis {
  const { ask, now } = choice;
  const far = one.domain === ask.domain ? 0 : OTHER_DOMAIN_MS;
  return far + one.load.faults(now) * FAULT_MS;
}
