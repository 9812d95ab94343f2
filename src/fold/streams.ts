import type { StreamName } from "../core/id.ts";

/** Configuration changes and checkpoints. */
export const CONFIG_STREAM = "config" as StreamName;
/** Claims on idempotency keys, their releases and outcomes. */
export const CLAIMS_STREAM = "claims" as StreamName;
/** Leases on upstream groups. */
export const LEASES_STREAM = "leases" as StreamName;
/** Secrets that sign resume tokens and issued keys. */
export const KEYS_STREAM = "keys" as StreamName;
/** The hash-chained records of finished requests. */
export const RECORDS_STREAM = "records" as StreamName;
