import type { UpstreamId } from "../core/id.ts";
import type { Problem } from "../core/problem.ts";
import type { Millis, Timestamp } from "../core/time.ts";
import type {
  JobId,
  PlacementRequest,
  PoolGrant,
} from "../scheduling/pool/pool_job.ts";
import type { ContentRecord } from "../suspects/content_record.ts";
import type { ContentReport } from "./contents/content_report.ts";
import type { Silence } from "./contents/silence.ts";
import type { PeerCard, PeerMessage } from "./peers/peer_message.ts";
import type {
  ServingBatch,
  StoredList,
  StoreError,
} from "./store/platform_store.ts";
import type { StoreEra } from "./store/store_position.ts";
import type { ServingConfig } from "./serving/serving_config.ts";
import type { UpstreamAvailability } from "./requests/upstream_availability.ts";
import type { RateNotice } from "./upstreams/named_rates.ts";
import type { UpstreamChange } from "./upstreams/upstream_table.ts";

/** An input that the adapters pass to the core of a daemon. */
export type GatewayEvent =
  | Readonly<{ type: "message"; message: PeerMessage }>
  | Readonly<{ type: "place"; ask: PlacementRequest }>
  /** The request of a placement request ended before it was placed. */
  | Readonly<{ type: "withdraw"; job: JobId }>
  | Readonly<{
    type: "job";
    job: JobId;
    upstream: UpstreamId;
    phase: "started" | "ended" | "failed";
    silence?: Silence;
    unreachable?: boolean;
    content?: ContentReport;
  }>
  /** What an upstream announced in a response to this daemon, and when the request was sent. */
  | Readonly<{
    type: "upstream_said";
    upstream: UpstreamId;
    availability: UpstreamAvailability;
    sentAt: Timestamp;
  }>
  /** An order or a report call was sent to an upstream with a limited rate. */
  | Readonly<{ type: "order_sent"; upstream: UpstreamId }>
  /** A grant for an upstream with a limited rate was not counted against it: the placer did not know the rate. */
  | Readonly<{ type: "uncounted_grant"; upstream: UpstreamId }>
  | Readonly<{ type: "serving_read" }> & ServingBatch
  | Readonly<{ type: "serving_fetched"; serving: ServingConfig }>
  | Readonly<{ type: "fetch_failed"; detail: string }>
  /** A fetch of a table of upstreams failed; one that succeeded arrives as a message. */
  | Readonly<{ type: "table_unfetched"; detail: string }>
  | Readonly<{
    type: "register_read";
    /** Whether `changes` is the whole register, rather than the changes since the last read. */
    full: boolean;
    changes: readonly UpstreamChange[];
    next: number;
    era?: StoreEra;
  }>
  | Readonly<{ type: "read_failed"; topic: StoreTopic; err: StoreError }>
  | Readonly<{ type: "announced"; cards: readonly PeerCard[] }>
  /** The stored records of quarantined contents; absent if the read failed. */
  | Readonly<{ type: "contents_read"; stored?: StoredList<ContentRecord> }>
  | Readonly<{ type: "contents_kept"; write: WriteId; result: WriteResult }>
  /** The stored rates of upstreams; absent if the read failed. */
  | Readonly<{ type: "rates_read"; stored?: StoredList<RateNotice> }>
  | Readonly<{ type: "rates_kept"; write: WriteId; result: WriteResult }>
  /** Result of inspecting an upstream; a field is absent if the report did not include it. */
  | Readonly<{
    type: "inspected";
    upstream: UpstreamId;
    pace?: number;
    /** Unix time in ms at which the upstream's process started. */
    startedAt?: number;
    /** Whether no connection could be made to its address. */
    unreachable?: boolean;
  }>
  /** The process was suspended: its data is older by `suspendedMs` than the monotonic clock shows. */
  | Readonly<{ type: "resumed"; suspendedMs: Millis }>
  /** Time that a fixed piece of work took on this VM. */
  | Readonly<{ type: "timed"; ms: Millis }>
  | Readonly<{ type: "drain" }>;

/** A topic of the platform's store that can be read: the configuration or the register of upstreams. */
export type StoreTopic = "serving" | "register";

/** Number of a write, by which its result is recognised. */
export type WriteId = number;

/** What came of a write; one that `failed` may still be carried out, if its topic doesn't grow before. */
export type WriteResult = "written" | "outdated" | "failed";

/** The number of a write, and the offset at which its topic must end. */
export type KeepOptions = Readonly<{ write: WriteId; at: number }>;

/** An action that the core asks the adapters to perform. */
export type GatewayIntent =
  | Readonly<{ type: "send"; to: string; message: PeerMessage }>
  | Readonly<{ type: "granted"; grant: PoolGrant }>
  | Readonly<{ type: "denied"; job: JobId; problem: Problem }>
  | Readonly<{
    type: "read";
    topic: StoreTopic;
    /** Offset to read from; absent to read the whole topic. */
    from?: number;
    waitMs: Millis;
  }>
  | Readonly<{ type: "inspect"; upstream: UpstreamId; address: string }>
  | Readonly<{ type: "fetch_serving"; peer: PeerCard }>
  | Readonly<{ type: "fetch_table"; peer: PeerCard }>
  | Readonly<{ type: "announce"; card: PeerCard }>
  | Readonly<{ type: "read_announced" }>
  | Readonly<
    { type: "keep_contents"; records: readonly ContentRecord[] } & KeepOptions
  >
  | Readonly<{ type: "read_contents" }>
  | Readonly<
    { type: "keep_rates"; notices: readonly RateNotice[] } & KeepOptions
  >
  | Readonly<{ type: "read_rates" }>
  /** The upstream's process is gone or was replaced: the requests that ran there cannot complete. */
  | Readonly<{ type: "upstream_lost"; upstream: UpstreamId }>
  | Readonly<{
    type: "line";
    kind: string;
    fields: Readonly<Record<string, string | number | boolean>>;
  }>;
