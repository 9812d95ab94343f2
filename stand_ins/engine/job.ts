import type {
  AttemptId,
  Digest,
  PlanId,
  RequestId,
} from "../../src/core/id.ts";
import type { Weights } from "../../src/core/request.ts";
import type { Millis, Timestamp } from "../../src/core/time.ts";

/** An engine's part of a plan. */
export type JobSegment = Readonly<{
  plan: PlanId;
  /** First token of the segment. */
  from: number;
  /** One past the last token of the segment. */
  to: number;
  /** Whether this engine decodes. */
  last: boolean;
  total: number;
}>;

/** One prompt, as the engine model sees it. */
export type EngineJob = Readonly<{
  request: RequestId;
  attempt: AttemptId;
  /** Tokens of the whole prompt, also where only a segment runs here. */
  promptTokens: number;
  /** Chained digests of the prompt's blocks, first block first. */
  blocks: readonly Digest[];
  maxTokens: number;
  /** Tokens that the whole answer will have; at most `maxTokens`. */
  answerTokens: number;
  /** Lower runs first. */
  priority: number;
  weights: Weights;
  deadlineAt: Timestamp;
  segment?: JobSegment;
  /** Answer tokens that an earlier attempt has delivered; the answer goes on after them. */
  answeredTokens?: number;
  /** Whether the first step that runs this prompt crashes the engine. */
  poison?: boolean;
}>;

/** What the engine model reports. */
export type ModelEvent =
  | Readonly<
    {
      type: "prefilled";
      at: Timestamp;
      attempt: AttemptId;
      cachedTokens: number;
    }
  >
  /** The tokens of one step. */
  | Readonly<
    {
      type: "tokens";
      at: Timestamp;
      tokens: readonly Readonly<{ attempt: AttemptId; index: number }>[];
    }
  >
  | Readonly<
    {
      type: "done";
      at: Timestamp;
      attempt: AttemptId;
      /** Tokens of the whole answer, those of earlier attempts included. */
      count: number;
      finish: "stop" | "length" | "cancelled" | "segment";
      promptTokens: number;
      cachedTokens: number;
    }
  >
  | Readonly<
    {
      type: "error";
      at: Timestamp;
      attempt: AttemptId;
      code: "deadline" | "plan_broken";
    }
  >
  | Readonly<
    {
      type: "cache";
      at: Timestamp;
      change: "stored" | "evicted" | "cleared";
      blocks: readonly Digest[];
    }
  >
  | Readonly<
    {
      type: "transferred";
      at: Timestamp;
      plan: PlanId;
      direction: TransferDirection;
      tokens: number;
    }
  >
  | Readonly<
    { type: "reservation_lapsed"; at: Timestamp; plan: PlanId }
  >
  /** All memory and all attempts are gone. */
  | Readonly<
    { type: "crashed"; at: Timestamp; attempts: readonly AttemptId[] }
  >;

/** Which way KV cache goes, seen from this engine. */
export type TransferDirection = "export" | "import";

/** Memory that one plan holds. */
export type ModelReservation = Readonly<
  { owner: string; tokens: number; ttlMs: Millis }
>;
