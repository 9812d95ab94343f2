import type { Envelope } from "../gen/peer.ts";
import type { CacheEvent, EngineState, LoadReport } from "../wire/engine.ts";
import type { LogRecord } from "../wire/log.ts";
import type { Vm } from "../wire/vm_list.ts";
import type {
  AttemptId,
  Offset,
  RecordId,
  RequestId,
  StreamName,
  UpstreamId,
} from "./id.ts";
import type {
  Outcome,
  PromptRequest,
  Request,
  RunningStream,
} from "./request.ts";
import type { Millis } from "./time.ts";

/** An input of the core, reported by the adapters. */
export type Event =
  | Readonly<{ type: "request_arrived"; req: Request }>
  /** A client resumed the stream of a running response; this daemon doesn't have its prompt. */
  | Readonly<
    { type: "request_resumed"; req: PromptRequest; running: RunningStream }
  >
  | Readonly<{ type: "client_left"; req: RequestId }>
  | Readonly<{ type: "first_token"; req: RequestId; attempt: AttemptId }>
  | Readonly<
    {
      type: "attempt_progress";
      req: RequestId;
      attempt: AttemptId;
      tokens: number;
    }
  >
  | Readonly<
    {
      type: "attempt_ended";
      req: RequestId;
      attempt: AttemptId;
      outcome: Outcome;
    }
  >
  | Readonly<
    { type: "load_reported"; upstream: UpstreamId; report: LoadReport }
  >
  | Readonly<
    { type: "state_reported"; upstream: UpstreamId; state: EngineState }
  >
  | Readonly<
    {
      type: "cache_reported";
      upstream: UpstreamId;
      events: readonly CacheEvent[];
    }
  >
  | Readonly<{ type: "upstream_unreachable"; upstream: UpstreamId }>
  | Readonly<
    {
      type: "order_ended";
      upstream: UpstreamId;
      result: "accepted" | "stale" | "unknown";
    }
  >
  | Readonly<
    {
      type: "reservation_ended";
      upstream: UpstreamId;
      plan: string;
      result: "held" | "refused" | "released" | "unknown";
    }
  >
  | Readonly<{ type: "vms_listed"; vms: readonly Vm[] }>
  | Readonly<
    {
      type: "log_read";
      stream: StreamName;
      records: readonly LogRecord[];
      nextOffset: Offset;
      endOffset: Offset;
    }
  >
  | Readonly<{ type: "log_gap"; stream: StreamName; firstOffset: Offset }>
  | Readonly<{ type: "log_unreachable"; stream: StreamName }>
  | Readonly<
    {
      type: "append_ended";
      stream: StreamName;
      records: readonly RecordId[];
      result: "appended" | "refused" | "unknown";
      retryAfterMs?: Millis;
    }
  >
  | Readonly<{ type: "peer_message"; envelope: Envelope }>
  | Readonly<{ type: "peer_unreachable"; address: string }>
  /** The daemon that issued a key has answered a forwarded call, or `failed` to. */
  | Readonly<
    { type: "forward_ended"; req: RequestId; result: "answered" | "failed" }
  >
  | Readonly<{ type: "drain_requested" }>;
