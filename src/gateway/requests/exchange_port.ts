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
  PoolGrant,
} from "../../scheduling/pool/pool_job.ts";
import type { UpstreamClosure } from "../upstreams/self_reported_closures.ts";
import type { UpstreamAvailability } from "./upstream_availability.ts";
import type { PlacementResult } from "../placement/placement_port.ts";
import type { ContentReport } from "../contents/content_report.ts";
import type { Silence } from "../contents/silence.ts";
import type { Dialect, RequestHead } from "./dialect.ts";
import type { EngineOrders } from "./engine_orders.ts";
import type { AdmittedRequest } from "../serving/route_table.ts";
import type { LogFields } from "../event_log.ts";
import type { ServiceId } from "../../core/id.ts";

/** A client's request with its route and deadline. */
export type ExchangeRequest = Readonly<{
  head: RequestHead;
  body: Buffer;
  admitted: AdmittedRequest;
  arrivedAt: Timestamp;
  /** When the final response must have been given. */
  deadlineAt: Timestamp;
  /** Digest of the caller, the path and the body, by which poison requests are recognised. */
  digest: string;
}>;

/** Change of a placed job's state. */
export type JobUpdate = Readonly<{
  phase: "started" | "ended" | "failed";
  /** The upstream's silence while the job goes on, or up to its end. */
  silence?: Silence;
  /** Whether the upstream's address accepted no connection. */
  unreachable?: boolean;
  /** Outcome of the content on the upstream, by which poison requests are detected. */
  content?: ContentReport;
}>;

/** Interface of an exchange to the daemon that runs it. */
export type ExchangePort = Readonly<{
  dialect: Dialect;
  orders: EngineOrders;
  now: () => Timestamp;
  /** A random number in [0, 1). */
  random: () => number;
  self: Readonly<{ vm: PlacementRequest["vm"]; domain: string }>;
  /** Requests a placement; `reply` is called once, unless the request is withdrawn. */
  place: (
    ask: PlacementRequest,
    reply: (result: PlacementResult) => void,
  ) => void;
  withdraw: (job: JobId) => void;
  /** Reports a change of a job's state. */
  updateJob: (
    job: JobId,
    upstream: UpstreamId,
    update: JobUpdate,
  ) => void;
  /** The listed upstream with an address, if any. */
  upstreamAt: (address: string) => UpstreamId | undefined;
  /** Why a grant may not be used, and which of its upstreams is the reason; undefined if it may. */
  grantClosure: (
    grant: PoolGrant,
  ) => (UpstreamClosure & Readonly<{ upstream: UpstreamId }>) | undefined;
  /** Upstreams of a service that are closed to new requests from this daemon. */
  closedUpstreams: (service: ServiceId) => readonly ClosedUpstream[];
  /** Records what an upstream announced in a response to a request that was sent at `sentAt`. */
  reportAvailability: (
    upstream: UpstreamId,
    availability: UpstreamAvailability,
    options: Readonly<{ sentAt: Timestamp }>,
  ) => void;
  recordFirstSend: (service: ServiceId) => void;
  /** Whether the service's budget has a retry left. */
  mayRetry: (service: ServiceId) => boolean;
  /** Takes a retry from the service's budget; false if none is left. */
  spendRetry: (service: ServiceId) => boolean;
  line: (kind: string, fields: LogFields) => void;
  observe: ExchangeObserver;
}>;

/** Receives the measurements of exchanges. */
export type ExchangeObserver = Readonly<{
  placed: (tokens: number, ms: number) => void;
  firstEvent: (tokens: number, ms: number) => void;
  completed: (tokens: number, ms: number) => void;
  retried: (cause: Retry) => void;
  problem: (code: Refusal, verdict: Verdict) => void;
  ended: (outcome: "answered" | "failed" | "left") => void;
}>;
