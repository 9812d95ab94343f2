import type {
  AdapterId,
  AttemptId,
  ClassId,
  Digest,
  IdempotencyKey,
  ModelId,
  PlanId,
  RequestId,
  Revision,
  ServiceId,
  TeamId,
  UpstreamId,
  VersionId,
} from "./id.ts";
import type { Retry } from "./reason.ts";
import type { Timestamp } from "./time.ts";
import type { Verdict } from "./verdict.ts";

type RequestBase = Readonly<{
  id: RequestId;
  team: TeamId;
  classId: ClassId;
  arrivedAt: Timestamp;
  deadlineAt: Timestamp;
  /** Digest of the whole content; equal content has an equal digest. */
  digest: Digest;
}>;

/** The weights that a prompt runs on. */
export type Weights = Readonly<
  { model: ModelId; version: VersionId; adapter?: AdapterId }
>;

/** A prompt; its text stays outside the core. */
export type PromptRequest =
  & RequestBase
  & Readonly<{
    kind: "prompt";
    model: ModelId;
    adapter?: AdapterId;
    /** Absent: the version that the configuration names. */
    version?: VersionId;
    promptTokens: number;
    maxTokens: number;
    /** Chained digests of the prompt's 256-token blocks, first block first. */
    blocks: readonly Digest[];
  }>;

/** A call of a plain service; its body stays outside the core. */
export type CallRequest =
  & RequestBase
  & Readonly<{
    kind: "call";
    service: ServiceId;
    method: string;
    path: string;
    key?: IdempotencyKey;
    /** Whether another daemon forwarded the call here; it is not forwarded again. */
    forwarded?: boolean;
  }>;

/** A request as the core sees it, without its content. */
export type Request = PromptRequest | CallRequest;

/** A range of a prompt's tokens and its engine, for a prompt that no single engine can hold. */
export type Segment = Readonly<{
  upstream: UpstreamId;
  /** First token of the segment. */
  from: number;
  /** One past the last token of the segment. */
  to: number;
}>;

/** The upstream that one attempt runs at, and how it runs there. */
export type Placement = Readonly<{
  upstream: UpstreamId;
  /** Engine priority; lower runs first. */
  priority: number;
  /** Present when the prompt is spread over several engines; the last one decodes. */
  plan?: Readonly<{ id: PlanId; segments: readonly Segment[] }>;
}>;

/** One attempt of a request at one upstream. */
export type Attempt = Readonly<{
  id: AttemptId;
  placement: Placement;
  startedAt: Timestamp;
  firstTokenAt?: Timestamp;
  tokens: number;
}>;

/** How an attempt ended; `ok` means that the complete response was sent to the client. */
export type Outcome =
  | Readonly<{
    type: "ok";
    tokens: number;
    status: number;
    /** Complete response of a call that may run at most once, for its log record. */
    answer?: Readonly<{ contentType: string; body: string }>;
    /** SHA-256 of the content that was sent to the client. */
    answerDigest?: Digest;
  }>
  | Readonly<{
    type: "failed";
    cause: Retry;
    verdict: Verdict;
    /** Tokens that were sent to the client before the failure. */
    tokens: number;
    /** Whether the upstream crashed while the request ran, as far as is known. */
    crashed: boolean;
    detail: string;
    /** The engine that failed, if the attempt runs on a plan and another engine than the decoding one failed. */
    upstream?: UpstreamId;
  }>;

/** Configuration revision and weights that a request ran under. */
export type RanUnder = Readonly<{ revision: Revision; weights?: Weights }>;

/** A response that an engine is producing, for an attempt that another daemon started. */
export type RunningStream = Readonly<{
  attempt: AttemptId;
  upstream: UpstreamId;
  ranUnder: RanUnder;
  /** Tokens that the client has received. */
  tokens: number;
}>;
