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

/** What weights a prompt is to run on. */
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
    /** Whether another daemon sent it here; it is not sent on again. */
    forwarded?: boolean;
  }>;

/** One request, as the core sees it. */
export type Request = PromptRequest | CallRequest;

/** Where a prompt's parts run when no single engine can hold it. */
export type Segment = Readonly<{
  upstream: UpstreamId;
  /** First token of the segment. */
  from: number;
  /** One past the last token of the segment. */
  to: number;
}>;

/** Where one attempt runs. */
export type Placement = Readonly<{
  upstream: UpstreamId;
  /** Engine priority; lower runs first. */
  priority: number;
  /** Present when the prompt is spread over several engines; the last one decodes. */
  plan?: Readonly<{ id: PlanId; segments: readonly Segment[] }>;
}>;

/** One try of a request at one upstream. */
export type Attempt = Readonly<{
  id: AttemptId;
  placement: Placement;
  startedAt: Timestamp;
  firstTokenAt?: Timestamp;
  tokens: number;
}>;

/** How an attempt ended; `ok` means that the whole answer was passed on. */
export type Outcome =
  | Readonly<{
    type: "ok";
    tokens: number;
    status: number;
    /** The whole answer of a call that may not be repeated, to be recorded. */
    answer?: Readonly<{ contentType: string; body: string }>;
    /** SHA-256 of what was passed on to the client. */
    answerDigest?: Digest;
  }>
  | Readonly<{
    type: "failed";
    cause: Retry;
    verdict: Verdict;
    /** Tokens that were passed on to the client before the failure. */
    tokens: number;
    /** Whether the upstream died while the request ran, as far as is known. */
    crashed: boolean;
    detail: string;
    /** The upstream that failed, where it is another engine of the plan than the one that decodes. */
    upstream?: UpstreamId;
  }>;

/** What the record of a request says about the configuration it ran under. */
export type RanUnder = Readonly<{ revision: Revision; weights?: Weights }>;

/** An answer that an engine is producing, started by another daemon. */
export type RunningStream = Readonly<{
  attempt: AttemptId;
  upstream: UpstreamId;
  ranUnder: RanUnder;
  /** Tokens that the client has received. */
  tokens: number;
}>;
