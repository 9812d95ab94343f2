import type { Buffer } from "node:buffer";
import type { UpstreamId } from "../../core/id.ts";
import type { Refusal } from "../../core/reason.ts";
import type { Retry } from "../../core/reason.ts";
import type { Timestamp } from "../../core/time.ts";
import type { Verdict } from "../../core/verdict.ts";
import type {
  ClosedUpstream,
  JobId,
  PoolAsk,
} from "../../scheduling/pool/pool_job.ts";
import type { Closure } from "../upstreams/upstream_gate.ts";
import type { UpstreamAvailability } from "./upstream_availability.ts";
import type { PoolReply } from "../placement/placement_port.ts";
import type { ContentReport } from "../contents/content_report.ts";
import type { Dialect, RequestHead } from "./dialect.ts";
import type { EngineOrders } from "./engine_orders.ts";
import type { Admitted } from "../serving/route_table.ts";
import type { LineFields } from "../event_log.ts";
import type { ServiceId } from "../../core/id.ts";

/** What an exchange is about. */
export type ExchangeRequest = Readonly<{
  head: RequestHead;
  body: Buffer;
  admitted: Admitted;
  arrivedAt: Timestamp;
  /** When the final answer must have been given. */
  deadlineAt: Timestamp;
  /** Digest of the caller and the content. */
  digest: string;
}>;

/** How a job goes on. */
export type JobUpdate = Readonly<{
  phase: "started" | "ended" | "failed";
  /** Whether no one took a connection at the upstream's address. */
  unreachable?: boolean;
  /** How the upstream fared with the content, which tells content that crashes upstreams. */
  content?: ContentReport;
}>;

/** What an exchange needs of the daemon that it runs in. */
export type ExchangePort = Readonly<{
  dialect: Dialect;
  orders: EngineOrders;
  now: () => Timestamp;
  /** A number in [0, 1). */
  random: () => number;
  self: Readonly<{ vm: PoolAsk["vm"]; domain: string }>;
  /** Asks for a place; the reply comes once, unless the ask is withdrawn. */
  place: (ask: PoolAsk, reply: (answer: PoolReply) => void) => void;
  withdraw: (job: JobId) => void;
  /** Says how a job goes on. */
  updateJob: (
    job: JobId,
    upstream: UpstreamId,
    update: JobUpdate,
  ) => void;
  /** Upstream with an address, if one is listed. */
  upstreamAt: (address: string) => UpstreamId | undefined;
  /** Why an upstream may be sent nothing now; nothing where it may. */
  closure: (id: UpstreamId) => Closure | undefined;
  /** Upstreams of a service that are closed to this daemon. */
  closedUpstreams: (service: ServiceId) => readonly ClosedUpstream[];
  /** Notes what an upstream said of itself beside an answer. */
  reportAvailability: (
    upstream: UpstreamId,
    availability: UpstreamAvailability,
  ) => void;
  recordFirstSend: (service: ServiceId) => void;
  /** Takes a repeat from the budget. */
  spendRetry: (service: ServiceId) => boolean;
  line: (kind: string, fields: LineFields) => void;
  observe: ExchangeObserver;
}>;

/** What is measured of exchanges. */
export type ExchangeObserver = Readonly<{
  placed: (tokens: number, ms: number) => void;
  firstEvent: (tokens: number, ms: number) => void;
  completed: (tokens: number, ms: number) => void;
  retried: (cause: Retry) => void;
  problem: (code: Refusal, verdict: Verdict) => void;
  ended: (outcome: "answered" | "failed" | "left") => void;
}>;
