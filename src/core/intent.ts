import type { Envelope } from "../gen/peer.ts";
import type { EngineOrder } from "../wire/engine.ts";
import type {
  AttemptId,
  Offset,
  PlanId,
  RecordId,
  RequestId,
  StreamName,
  UpstreamId,
} from "./id.ts";
import type { Timing } from "./measurement.ts";
import type { Problem } from "./problem.ts";
import type { Placement, RanUnder, Weights } from "./request.ts";
import type { Timestamp } from "./time.ts";

/** A record to append to a stream; appending it again has no effect, as its id is the same. */
export type AppendRecord = Readonly<{ id: RecordId; body: string }>;

/** An action that the core requests from the adapters. */
export type Intent =
  | Readonly<{
    type: "start_attempt";
    req: RequestId;
    attempt: AttemptId;
    placement: Placement;
    weights?: Weights;
    deadlineAt: Timestamp;
    ranUnder: RanUnder;
    /** `resume`: reattach to the running stream; `continue`: generate on after the tokens already sent to the client. */
    mode: "fresh" | "resume" | "continue";
  }>
  | Readonly<
    {
      type: "cancel_attempt";
      req: RequestId;
      attempt: AttemptId;
      upstream: UpstreamId;
    }
  >
  | Readonly<{ type: "answer"; req: RequestId; problem: Problem }>
  | Readonly<
    {
      type: "answer_recorded";
      req: RequestId;
      status: number;
      body: string;
      contentType?: string;
    }
  >
  | Readonly<
    { type: "append"; stream: StreamName; records: readonly AppendRecord[] }
  >
  | Readonly<{
    type: "read_log";
    stream: StreamName;
    from: Offset;
    /** Whether to long-poll when there is no record at `from` yet. */
    wait: boolean;
  }>
  | Readonly<{ type: "send_peer"; address: string; envelope: Envelope }>
  | Readonly<{ type: "send_order"; upstream: UpstreamId; order: EngineOrder }>
  | Readonly<
    {
      type: "reserve_memory";
      upstream: UpstreamId;
      plan: PlanId;
      tokens: number;
      ttlMs: number;
    }
  >
  | Readonly<{ type: "release_memory"; upstream: UpstreamId; plan: PlanId }>
  | Readonly<
    {
      type: "log_line";
      level: "info" | "warn" | "error";
      message: string;
      fields: Readonly<Record<string, string | number>>;
    }
  >
  /** Sends a call to the daemon that issued its key, at its peer address. */
  | Readonly<
    {
      type: "forward_call";
      req: RequestId;
      address: string;
      deadlineAt: Timestamp;
    }
  >
  | Readonly<{ type: "measured"; timing: Timing }>
  | Readonly<{ type: "exit" }>;
