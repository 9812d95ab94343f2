import type { UpstreamId } from "../core/id.ts";
import type { Problem } from "../core/problem.ts";
import type { Millis } from "../core/time.ts";
import type { JobId, PoolAsk, PoolGrant } from "../scheduling/pool/pool_job.ts";
import type { ContentRecord } from "./contents/content_record.ts";
import type { ContentReport } from "./contents/content_report.ts";
import type { PeerCard, PeerMessage } from "./peers/peer_message.ts";
import type { StoreError } from "./store/platform_store.ts";
import type { Serving } from "./serving/serving.ts";
import type { UpstreamAvailability } from "./requests/upstream_availability.ts";
import type { UpstreamChange } from "./upstreams/upstream_table.ts";

/** What the adapters tell the core of a daemon. */
export type GatewayEvent =
  | Readonly<{ type: "message"; message: PeerMessage }>
  | Readonly<{ type: "place"; ask: PoolAsk }>
  /** The request behind an ask is over before it got a place. */
  | Readonly<{ type: "withdraw"; job: JobId }>
  | Readonly<{
    type: "job";
    job: JobId;
    upstream: UpstreamId;
    phase: "started" | "ended" | "failed";
    unreachable?: boolean;
    content?: ContentReport;
  }>
  /** What an upstream said of itself beside an answer to this daemon. */
  | Readonly<{
    type: "upstream_said";
    upstream: UpstreamId;
    signs: UpstreamAvailability;
  }>
  | Readonly<{ type: "serving_read"; serving?: Serving; next: number }>
  | Readonly<{ type: "serving_fetched"; serving: Serving }>
  | Readonly<{ type: "fetch_failed"; detail: string }>
  | Readonly<{
    type: "register_read";
    /** Whether the changes are all there is, rather than what came since. */
    full: boolean;
    changes: readonly UpstreamChange[];
    next: number;
  }>
  | Readonly<{ type: "read_failed"; what: StoreTopic; err: StoreError }>
  | Readonly<{ type: "announced"; cards: readonly PeerCard[] }>
  /** What the store keeps of quarantined contents; absent where it did not say. */
  | Readonly<{ type: "contents_read"; records?: readonly ContentRecord[] }>
  | Readonly<{ type: "contents_kept"; ok: boolean }>
  /** What an upstream's own report says; its fields are absent where it gave none. */
  | Readonly<{
    type: "inspected";
    upstream: UpstreamId;
    pace?: number;
    /** Unix time in ms of its start. */
    startedAt?: number;
    /** Whether no one took a connection at its address. */
    unreachable?: boolean;
  }>
  /** The process stood still: what it believes may be older than its clock says. */
  | Readonly<{ type: "resumed"; lostMs: Millis }>
  /** How long a fixed piece of work has just taken here. */
  | Readonly<{ type: "timed"; ms: Millis }>
  | Readonly<{ type: "drain" }>;

/** What of the platform's store is read. */
export type StoreTopic = "serving" | "register";

/** What the core wants the adapters to do. */
export type GatewayIntent =
  | Readonly<{ type: "send"; to: string; message: PeerMessage }>
  | Readonly<{ type: "granted"; grant: PoolGrant }>
  | Readonly<{ type: "denied"; job: JobId; problem: Problem }>
  | Readonly<{
    type: "read";
    what: StoreTopic;
    /** Absent: everything there is. */
    from?: number;
    waitMs: Millis;
  }>
  | Readonly<{ type: "inspect"; upstream: UpstreamId; address: string }>
  | Readonly<{ type: "fetch_serving"; peer: PeerCard }>
  | Readonly<{ type: "announce"; card: PeerCard }>
  | Readonly<{ type: "read_announced" }>
  | Readonly<{ type: "keep_contents"; records: readonly ContentRecord[] }>
  | Readonly<{ type: "read_contents" }>
  /** The upstream's process is gone or another one: what runs there can't end. */
  | Readonly<{ type: "upstream_lost"; upstream: UpstreamId }>
  | Readonly<{
    type: "line";
    kind: string;
    fields: Readonly<Record<string, string | number | boolean>>;
  }>;
