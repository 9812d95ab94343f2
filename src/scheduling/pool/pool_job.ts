import type { Branded } from "../../core/brand.ts";
import type {
  PromptPartId,
  RequestId,
  ServiceId,
  TeamId,
  UpstreamId,
  VmId,
} from "../../core/id.ts";
import type { Millis, Timestamp } from "../../core/time.ts";
import type { LeadingPart } from "../held/leading_parts.ts";

/** Id of one placement of a request; each retry has its own. */
export type JobId = Branded<string, "JobId">;

/** A request for an upstream, sent by the daemon that received the client's request. */
export type PlacementRequest = Readonly<{
  job: JobId;
  req: RequestId;
  /** VM of the requesting daemon. */
  vm: VmId;
  domain: string;
  service: ServiceId;
  /** Absent if the request has no key, or comes from a daemon of an earlier build. */
  team?: TeamId;
  kind: "prompt" | "call";
  promptTokens: number;
  answerTokens: number;
  /** Time to the first event, or to the answer, that the caller expects. */
  targetMs: Millis;
  /** Longest pause between events that the caller accepts. */
  pauseMs: Millis;
  /** Time left until the request's deadline. */
  leftMs: Millis;
  /** Rank of the team or route; 0 is the highest. */
  rank: number;
  /** Digest of the caller and the content. */
  digest: string;
  /** Parts of the prompt that other requests may share. */
  sharedParts: readonly PromptPartId[];
  /** Parts of the prompt from its start, where the service's engines hold them beyond a request. */
  leadingParts?: readonly LeadingPart[];
  /** Upstreams that this request failed on. */
  avoid: readonly UpstreamId[];
  /** Upstreams that the daemon may not send anything to at present. */
  closed: readonly ClosedUpstream[];
}>;

/** An upstream that a daemon may not send to, and for how long; without `forMs`, until its process is replaced. */
export type ClosedUpstream = Readonly<
  { upstream: UpstreamId; forMs?: Millis }
>;

/** Memory to reserve on an engine before a prompt is sent. */
export type MemoryTicket = Readonly<{ upstream: UpstreamId; tokens: number }>;

/** A placed request, from its grant to its end. */
export type PoolJob = Readonly<{
  id: JobId;
  vm: VmId;
  service: ServiceId;
  team?: TeamId;
  kind: "prompt" | "call";
  upstream: UpstreamId;
  helpers: readonly UpstreamId[];
  tickets: readonly MemoryTicket[];
  /** Sum of prompt and answer tokens. */
  tokens: number;
  /** Prefill time on each engine that takes part. */
  partMs: Millis;
  /** Engine time that it takes in all; absent in messages of earlier builds. */
  engineMs?: Millis;
  pauseMs: Millis;
  writing: boolean;
  /** Parts of the prompt from its start, which the engine holds once it has read them. */
  leadingParts?: readonly LeadingPart[];
  placedAt: Timestamp;
}>;

/** Permission to send one request to the upstreams that it was placed on. */
export type PoolGrant = Readonly<{
  job: PoolJob;
  /** Host and port of each upstream that takes part. */
  addresses: Readonly<Record<UpstreamId, string>>;
  /** Priority inside the engine; 0 is the highest. */
  priority: number;
  /** Predicted time to the first event. */
  expectMs: Millis;
  /** Prefill time that the engine is expected to save, as it holds the prompt's beginning. */
  savedMs?: Millis;
  /** Whether the request was counted against the limited rate of its upstream. */
  counted?: boolean;
}>;
