import type { Branded } from "../../core/brand.ts";
import type { RequestId, ServiceId, UpstreamId, VmId } from "../../core/id.ts";
import type { Millis, Timestamp } from "../../core/time.ts";

/** One placement of one request; a retry is another one. */
export type JobId = Branded<string, "JobId">;

/** What a daemon asks a place for. */
export type PlacementRequest = Readonly<{
  job: JobId;
  req: RequestId;
  /** The daemon's VM. */
  vm: VmId;
  domain: string;
  service: ServiceId;
  kind: "prompt" | "call";
  promptTokens: number;
  answerTokens: number;
  /** Time to the first event, or to the answer, that the caller expects. */
  targetMs: Millis;
  /** Longest pause between events that the caller accepts. */
  pauseMs: Millis;
  /** What is left of the request's time. */
  leftMs: Millis;
  /** The team's or route's rank; 0 is the highest. */
  rank: number;
  /** Digest of the caller and the content. */
  digest: string;
  /** Upstreams that this request has failed on. */
  avoid: readonly UpstreamId[];
  /** Upstreams that the daemon may send nothing now. */
  closed: readonly ClosedUpstream[];
}>;

/** An upstream that one daemon may send nothing, and for how long; absent where only another process opens it. */
export type ClosedUpstream = Readonly<
  { upstream: UpstreamId; forMs?: Millis }
>;

/** Memory to be reserved on an engine before a prompt is sent. */
export type MemoryTicket = Readonly<{ upstream: UpstreamId; tokens: number }>;

/** A job that holds a place, from its grant to its end. */
export type PoolJob = Readonly<{
  id: JobId;
  vm: VmId;
  service: ServiceId;
  kind: "prompt" | "call";
  upstream: UpstreamId;
  helpers: readonly UpstreamId[];
  tickets: readonly MemoryTicket[];
  /** Prompt and answer tokens. */
  tokens: number;
  /** Prefill time on each engine that takes part. */
  partMs: Millis;
  pauseMs: Millis;
  writing: boolean;
  placedAt: Timestamp;
}>;

/** A place for one request. */
export type PoolGrant = Readonly<{
  job: PoolJob;
  /** Host and port of each upstream that takes part. */
  addresses: Readonly<Record<UpstreamId, string>>;
  /** Rank inside the engine; 0 is the highest. */
  priority: number;
  /** Predicted time to the first event. */
  expectMs: Millis;
}>;
