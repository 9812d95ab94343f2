import { z } from "zod";
import type { Branded } from "../../core/brand.ts";
import type { Timestamp } from "../../core/time.ts";

/** Number of a history of the store: it rises each time that the store is restored from an older copy. */
export type StoreEra = Branded<number, "StoreEra">;

/** Schema of an era, which may count from a date. */
export const storeEraSchema = z.number().int().min(0)
  .max(Number.MAX_SAFE_INTEGER)
  .transform((era) => era as StoreEra);

/** Era of a daemon that knows none; any other is newer. */
export const UNKNOWN_ERA = -1 as StoreEra;

/** How far a topic of the store was read: positions are ordered by their era, then by their offset. */
export type StorePosition = Readonly<{ era: StoreEra; offset: number }>;

/** Position of a topic that was never read. */
export const UNREAD: StorePosition = { era: UNKNOWN_ERA, offset: -1 };

/** Whether a position is older than another one. */
export function isBefore(a: StorePosition, b: StorePosition): boolean {
  return a.era < b.era || (a.era === b.era && a.offset < b.offset);
}

/** Position that another daemon states; daemons of earlier builds name no era. */
export type StatedPosition = Readonly<{ era?: StoreEra; offset: number }>;

/**
 * The position that another daemon has stated. Without an era, it counts as of the era that is known here, until a
 * restore is known; from then on nothing tells it from a position before the restore.
 */
export function resolvePosition(
  stated: StatedPosition,
  store: Readonly<{ era: StoreEra; restoredAt: Timestamp }>,
): StorePosition {
  const { offset } = stated;
  const knowsRestore = store.restoredAt !== -Infinity;
  const era = stated.era ?? (knowsRestore ? UNKNOWN_ERA : store.era);
  return { era, offset };
}
