import { addMs, type Millis, type Timestamp } from "../../core/time.ts";
import type { StoreSection } from "../gateway_board.ts";

/** Upstreams and the operator write again what a restored store has lost within two heartbeats of 1.2 s. */
const REWRITE_MS: Millis = 3_000;
/** Entries of upstreams that are gone lapse after three heartbeats of 1.2 s. */
const SETTLING_MS: Millis = 5_000;

/** When what the store states holds again after its last restore. */
export function settledAt(store: StoreSection): Timestamp {
  return addMs(store.restoredAt, SETTLING_MS);
}

/** Until when what the store states may come from an older copy, so that newer knowledge holds; undefined if not. */
export function settlingUntil(
  store: StoreSection,
  now: Timestamp,
): Timestamp | undefined {
  const until = settledAt(store);
  return now < until ? until : undefined;
}

/** Until when what a restored store lacks may be written again; undefined if not. */
export function rewritingUntil(
  store: StoreSection,
  now: Timestamp,
): Timestamp | undefined {
  const until = addMs(store.restoredAt, REWRITE_MS);
  return now < until ? until : undefined;
}
