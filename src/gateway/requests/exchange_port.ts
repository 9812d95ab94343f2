import type { Buffer } from "node:buffer";
import type { UpstreamId } from "../../core/id.ts";
import type { Refusal } from "../../core/reason.ts";
import type { Retry } from "../../core/reason.ts";
import type { Timestamp } from "../../core/time.ts";
import type { Verdict } from "../../core/verdict.ts";
import type {
  ClosedUpstream,
  JobId,
  PlacementRequest,
} from "../../scheduling/pool/pool_job.ts";
import type { UpstreamClosure } from "../upstreams/self_reported_closures.ts";
import type { UpstreamSigns } from "./upstream_signs.ts";
import type { PlacementResult } from "../placement/placement_port.ts";
import type { ContentReport } from "../contents/content_report.ts";
import type { ClientHead, Dialect } from "./dialect.ts";
import type { EngineOrders } from "./engine_orders.ts";
import type { AdmittedRequest } from "../serving/route_table.ts";
import type { LogFields } from "../event_log.ts";
import type { ServiceId } from "../../core/id.ts";

/** What an exchange is about. */
export type ExchangeRequest = Readonly<{
  head: ClientHead;
  body: Buffer;
  admitted: AdmittedRequest;
  arrivedAt: Timestamp;
  /** When the final answer must have been given. */
  endsAt: Timestamp;
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
  draw: () => number;
  self: Readonly<{ vm: PlacementRequest["vm"]; domain: string }>;
  /** Asks for a place; the reply comes once, unless the ask is withdrawn. */
  place: (
    ask: PlacementRequest,
    reply: (answer: PlacementResult) => void,
  ) => void;
  withdraw: (job: JobId) => void;
  /** Says how a job goes on. */
  progress: (
    job: JobId,
    upstream: UpstreamId,
    updates: JobUpdate,
  ) => void;
  /** Upstream with an address, if one is listed. */
  upstreamAt: (address: string) => UpstreamId | undefined;
  /** Why an upstream may be sent nothing now; nothing where it may. */
  closure: (id: UpstreamId) => UpstreamClosure | undefined;
  /** Upstreams of a service that are closed to this daemon. */
  closed: (service: ServiceId) => readonly ClosedUpstream[];
  /** Notes what an upstream said of itself beside an answer. */
  said: (upstream: UpstreamId, signs: UpstreamSigns) => void;
  firstSend: (service: ServiceId) => void;
  /** Takes a repeat from the budget. */
  spendRepeat: (service: ServiceId) => boolean;
  line: (kind: string, fields: LogFields) => void;
  observe: ExchangeObserver;
}>;

/** What is measured of exchanges. */
export type ExchangeObserver = Readonly<{
  placed: (tokens: number, ms: number) => void;
  firstEvent: (tokens: number, ms: number) => void;
  whole: (tokens: number, ms: number) => void;
  retried: (cause: Retry) => void;
  problem: (code: Refusal, verdict: Verdict) => void;
  ended: (outcome: "answered" | "failed" | "left") => void;
}>;
