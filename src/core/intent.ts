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

/** A record that the core wants on a stream; appending it again is harmless. */
export type AppendRecord = Readonly<{ id: RecordId; body: string }>;

/** What the core wants the adapters to do. */
export type Intent =
  | Readonly<{
    type: "start_attempt";
    req: RequestId;
    attempt: AttemptId;
    placement: Placement;
    weights?: Weights;
    deadlineAt: Timestamp;
    ranUnder: RanUnder;
    /** `resume`: reattach to the running stream; `continue`: run on after the tokens already passed on. */
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
    /** Whether to wait for a first record where there is none. */
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
