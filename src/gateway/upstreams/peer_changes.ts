import { addMs, type Millis, type Timestamp } from "../../core/time.ts";
import type {
  GoneUpstream,
  KeptUpstream,
  MergeOptions,
  UpstreamChange,
  UpstreamEntry,
  UpstreamTable,
  UpstreamUpdate,
} from "./upstream_table.ts";

/** The whole table of another daemon. */
export type PeerTable = Readonly<{
  entries: readonly UpstreamEntry[];
  /** Those of the entries that are only kept. */
  kept?: readonly KeptUpstream[];
  /** Processes that are known to be gone. */
  gone?: readonly GoneUpstream[];
}>;

/** How changes of another daemon are weighed, and when they arrived. */
type PeerOptions = MergeOptions & Readonly<{ now: Timestamp }>;

/** Longest time for which entries are kept that another daemon keeps; none keeps its own for longer. */
const MAX_KEPT_MS: Millis = 5_000;

/** Applies changes that another daemon has sent; what it keeps is kept here as long. */
export function applyPeerChanges(
  table: UpstreamTable,
  changes: readonly UpstreamChange[],
  { now, settleUntil }: PeerOptions,
): readonly UpstreamUpdate[] {
  return changes.flatMap((change) => {
    const keptMs = change.type === "gone" ? change.keptMs : undefined;
    const options = keptMs === undefined
      ? { settleUntil }
      : { settleUntil, lapseUntil: addMs(now, Math.min(MAX_KEPT_MS, keptMs)) };
    return table.apply(change, options) ?? [];
  });
}

/** Replaces the table by that of another daemon. */
export function replaceByPeerTable(
  table: UpstreamTable,
  { entries, kept = [], gone = [] }: PeerTable,
  options: PeerOptions,
): readonly UpstreamUpdate[] {
  const updates = table.replace(entries, options);
  const changes = kept.map((one) => ({ type: "gone", ...one }) as const);
  const removed = gone.flatMap((one) => table.recordGone(one) ?? []);
  return [...updates, ...removed, ...applyPeerChanges(table, changes, options)];
}
