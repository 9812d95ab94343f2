import type { ResultAsync } from "neverthrow";
import type { Millis } from "../../core/time.ts";
import type { ContentRecord } from "../contents/content_record.ts";
import type { PeerCard } from "../peers/peer_message.ts";
import type { ServingConfig } from "../serving/serving_config.ts";
import type { UpstreamChange } from "../upstreams/upstream_table.ts";

/** Why a call of the platform's store failed. */
export type StoreError =
  /** The store answered that it did nothing. */
  | Readonly<{ code: "refused"; detail: string }>
  /** No whole answer came in time. */
  | Readonly<{ code: "silent"; detail: string }>
  /** What was to be read has been deleted; everything must be read anew. */
  | Readonly<{ code: "expired"; detail: string }>;

/** The outcome of reading configurations: the newest readable one, if any, and where to read on. */
export type ServingBatch = Readonly<{ serving?: ServingConfig; next: number }>;

/** The outcome of reading the register of upstreams. */
export type RegisterBatch = Readonly<{
  full: boolean;
  changes: readonly UpstreamChange[];
  next: number;
}>;

/** Where to read, and how long the store may wait for something new. */
export type ReadOptions = Readonly<{ from?: number; waitMs: Millis }>;

/** The platform's store: the configuration, the register of upstreams, and where daemons find each other. */
export abstract class PlatformStore {
  abstract readServing(
    options: ReadOptions,
  ): ResultAsync<ServingBatch, StoreError>;
  abstract readRegister(
    options: ReadOptions,
  ): ResultAsync<RegisterBatch, StoreError>;
  /** Records where a daemon is, for those that know no other one. */
  abstract announce(card: PeerCard): ResultAsync<void, StoreError>;
  abstract readAnnounced(): ResultAsync<readonly PeerCard[], StoreError>;
  /** Keeps what is known of quarantined contents, instead of what was kept before. */
  abstract keepContents(
    records: readonly ContentRecord[],
  ): ResultAsync<void, StoreError>;
  abstract readContents(): ResultAsync<readonly ContentRecord[], StoreError>;
}
