import type { RequestId, ServiceId, UpstreamId, VmId } from "../core/id.ts";
import type { Timestamp } from "../core/time.ts";
import type { EnginePace } from "../scheduling/pool/engine_pace.ts";
import type {
  JobId,
  PlacementRequest,
  PoolJob,
} from "../scheduling/pool/pool_job.ts";

/** Stated timing parameters of the engines in both deployments of the users' platform. */
export const ENGINE_PACE: EnginePace = {
  slots: 11,
  memoryTokens: 315_000,
  stride: 51,
  chunkTokens: 2_048,
  stepMs: 0.85,
  streamMs: 0.00618,
  contextMs: 0.00285,
  prefillTokensPerMs: 177,
  pairsMs: 0.184,
};

/** A placement request for a short prompt, with `fields` replaced. */
export function placementRequest(
  job: string,
  fields: Partial<PlacementRequest> = {},
): PlacementRequest {
  return {
    job: job as JobId,
    req: job as RequestId,
    vm: "vm" as VmId,
    domain: "a",
    service: "pool" as ServiceId,
    kind: "prompt",
    promptTokens: 5_000,
    answerTokens: 1_600,
    targetMs: 300,
    pauseMs: 250,
    leftMs: 10_000,
    rank: 1,
    digest: job,
    sharedParts: [],
    avoid: [],
    closed: [],
    ...fields,
  };
}

/** A job that was placed on an upstream and has not started to decode. */
export function poolJob(
  id: string,
  upstream: string,
  fields: Partial<PoolJob> = {},
): PoolJob {
  return {
    id: id as JobId,
    vm: "vm" as VmId,
    service: "pool" as ServiceId,
    kind: "prompt",
    upstream: upstream as UpstreamId,
    helpers: [],
    tickets: [],
    tokens: 6_000,
    partMs: 30,
    pauseMs: 250,
    writing: false,
    placedAt: 0 as Timestamp,
    ...fields,
  };
}
