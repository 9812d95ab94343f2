import { z } from "zod";
import type { DomainId, ServiceId, UpstreamId } from "../../core/id.ts";
import type { Millis, Timestamp } from "../../core/time.ts";
import {
  addressSchema,
  millisSchema,
  positiveCountSchema,
  unixMsSchema,
} from "../../wire/bounds.ts";
import { idSchema } from "../../wire/brands.ts";

/** Register entry of an upstream, as read from the register and as exchanged between daemons. */
export const UpstreamEntrySchema = z.object({
  // Grants list addresses by id; this one can't be a key of an object.
  id: idSchema<UpstreamId>().refine((id) => id !== "__proto__"),
  service: idSchema<ServiceId>(),
  address: addressSchema,
  domain: idSchema<DomainId>(),
  slots: positiveCountSchema,
  leaving: z.boolean(),
  /** Unix time in ms of the start, 0 where it is not stated; a different start means a different process. */
  startedAt: unixMsSchema,
  /** Time in ms until the upstream is warm, when its entry was written; absent if it is. */
  coldMs: millisSchema.optional(),
}).readonly();
/** Register entry of an upstream, as read from the register and as exchanged between daemons. */
export type UpstreamEntry = z.infer<typeof UpstreamEntrySchema>;

/** Change of the register: a new or changed entry, or an id whose entry is gone or unusable. */
export type UpstreamChange =
  | Readonly<{ type: "entry"; entry: UpstreamEntry }>
  | Readonly<{
    type: "gone";
    id: UpstreamId;
    /** Time for which the daemon that read it keeps the entry. */
    keptMs?: Millis;
  }>;

/** Effect of a change on the table. */
export type UpstreamUpdate = Readonly<{
  kind:
    | "joined"
    | "changed"
    | "leaving"
    | "gone"
    | "kept"
    | "overruled"
    | "settled"
    | "returned"
    | "restarted";
  id: UpstreamId;
}>;

/** A process of an upstream that is gone, by its start. */
export const GoneUpstreamSchema = UpstreamEntrySchema.unwrap()
  .pick({ id: true, startedAt: true }).readonly();
/** A process of an upstream that is gone, by its start. */
export type GoneUpstream = z.infer<typeof GoneUpstreamSchema>;

/** An entry that is kept for some time though the register does not list it. */
export type KeptUpstream = Readonly<{ id: UpstreamId; keptMs: Millis }>;

/** How statements are weighed against the table while the register may be incomplete or old. */
export type MergeOptions = Readonly<{
  /** Entries may be missing only because the register was unavailable, or its copy is older: they are kept until then. */
  lapseUntil?: Timestamp;
  /** The statements may come from an older copy of the register: until then, newer knowledge of a process holds. */
  settleUntil?: Timestamp;
}>;

/** What the register states of an upstream against the table, and until when the table holds. */
type Overruled = Readonly<{
  until: Timestamp;
  /** Whether the register may be an older copy: what it states must still hold then. */
  isSettling: boolean;
  /** Absent if the upstream is not listed. */
  stated?: UpstreamEntry;
}>;

/** Removed upstreams whose start is kept; more than the largest deployment has. */
const MAX_GONE_UPSTREAMS = 1_024;
/** Most gone processes in one message. */
const MAX_GONE_SENT = 128;

/** Upstreams listed in the register, as of the newest read. */
export class UpstreamTable {
  readonly #entries = new Map<UpstreamId, UpstreamEntry>();
  /** Results of `open` since the entries last changed. */
  readonly #open = new Map<ServiceId, readonly UpstreamEntry[]>();
  /** Statements of the register that don't hold yet. */
  readonly #overruled = new Map<UpstreamId, Overruled>();
  /** Start times of upstreams that are no longer listed, the latest removal last. */
  readonly #goneStarts = new Map<UpstreamId, number>();

  static create(): UpstreamTable {
    return new UpstreamTable();
  }

  get size(): number {
    return this.#entries.size;
  }

  get(id: UpstreamId): UpstreamEntry | undefined {
    return this.#entries.get(id);
  }

  /** Whether an upstream was listed and no longer is; false for an unknown id, which other daemons may know. */
  isGone(id: UpstreamId): boolean {
    return this.#goneStarts.has(id) && !this.#entries.has(id);
  }

  /** Unix time in ms of the start of the process that is or was last listed; 0 where none is known. */
  startedAt(id: UpstreamId): number {
    return this.#entries.get(id)?.startedAt ?? this.#goneStarts.get(id) ?? 0;
  }

  all(): readonly UpstreamEntry[] {
    return [...this.#entries.values()];
  }

  /** The entries that are kept though the register does not list them, and for how long. */
  kept(now: Timestamp): readonly KeptUpstream[] {
    return [...this.#overruled].filter(([id]) => this.#isKept(id))
      .map(([id, { until }]) => ({ id, keptMs: Math.max(0, until - now) }));
  }

  /** Upstreams of a service that accept new requests, by the register. */
  open(service: ServiceId): readonly UpstreamEntry[] {
    let open = this.#open.get(service);
    if (open === undefined) {
      open = this.all().filter((entry) =>
        entry.service === service && !entry.leaving
      );
      this.#open.set(service, open);
    }
    return open;
  }

  /** Applies one change; returns undefined where the table stays the same. */
  apply(
    change: UpstreamChange,
    options: MergeOptions = {},
  ): UpstreamUpdate | undefined {
    const { lapseUntil, settleUntil } = options;
    if (change.type === "entry") {
      const { entry } = change;
      if (settleUntil === undefined || !this.#contradicts(entry)) {
        return this.#put(entry);
      }
      const overruled = { until: settleUntil, isSettling: true, stated: entry };
      this.#overruled.set(entry.id, overruled);
      return { kind: "overruled", id: entry.id };
    }
    const { id } = change;
    const known = this.#entries.get(id);
    if (known === undefined) {
      return this.#overruled.delete(id) ? { kind: "settled", id } : undefined;
    }
    if (lapseUntil === undefined || known.leaving) return this.#remove(id);
    const isSettling = settleUntil !== undefined;
    if (isSettling || !this.#isKept(id)) {
      this.#overruled.set(id, { until: lapseUntil, isSettling });
    }
    return { kind: "kept", id };
  }

  /** Replaces the whole table with the entries of a full read. */
  replace(
    entries: readonly UpstreamEntry[],
    options: MergeOptions = {},
  ): readonly UpstreamUpdate[] {
    const ids = new Set(entries.map((entry) => entry.id));
    const known = [...this.#entries.keys(), ...this.#overruled.keys()];
    const missing = [...new Set(known)].filter((id) => !ids.has(id));
    const changes: UpstreamChange[] = [
      ...missing.map((id) => ({ type: "gone", id }) as const),
      ...entries.map((stated) => {
        const entry = options.settleUntil === undefined
          ? this.#withNewestStart(stated)
          : stated;
        return { type: "entry", entry } as const;
      }),
    ];
    return changes.flatMap((change) => this.apply(change, options) ?? []);
  }

  /**
   * Drops entries that were kept and were not listed again in time. After a restore, `asOf`, the latest time at which
   * the table is known to have matched the register, must be later.
   */
  expire(now: Timestamp, asOf: Timestamp): readonly UpstreamUpdate[] {
    const updates: UpstreamUpdate[] = [];
    for (const [id, { until, isSettling }] of [...this.#overruled]) {
      const isOver = until <= (isSettling ? asOf : now);
      if (isOver && this.#isKept(id)) updates.push(this.#remove(id));
    }
    return updates;
  }

  /** Time after `now` at which the next entry may be dropped. */
  nextExpiry(now: Timestamp): Timestamp | undefined {
    const times = [...this.#overruled.values()].map(({ until }) => until)
      .filter((until) => until > now);
    return times.length === 0 ? undefined : Math.min(...times) as Timestamp;
  }

  /** Whether the table holds against an entry of the register that says something else. */
  get isUnsettled(): boolean {
    return [...this.#overruled.values()]
      .some(({ stated }) => stated !== undefined);
  }

  /** The last processes that were removed, for daemons that did not see it. */
  recentlyGone(): readonly GoneUpstream[] {
    return [...this.#goneStarts].slice(-MAX_GONE_SENT)
      .filter(([id]) => !this.#entries.has(id))
      .map(([id, startedAt]) => ({ id, startedAt }));
  }

  /** Records that a process is gone, as another daemon knows, and removes its entry. */
  recordGone({ id, startedAt }: GoneUpstream): UpstreamUpdate | undefined {
    if (startedAt < this.startedAt(id)) return undefined;
    const update = this.#entries.has(id) ? this.#remove(id) : undefined;
    this.#setGone(id, startedAt);
    return update;
  }

  /** Whether an entry is kept though the register does not list it. */
  #isKept(id: UpstreamId): boolean {
    const overruled = this.#overruled.get(id);
    return overruled !== undefined && overruled.stated === undefined;
  }

  /**
   * Whether an entry is older than what is known: its process was replaced, is gone, or is leaving. An entry that
   * doesn't state its start is taken for the process that is known.
   */
  #contradicts(entry: UpstreamEntry): boolean {
    const { startedAt } = entry;
    const known = this.#entries.get(entry.id);
    if (known === undefined) {
      const goneStart = this.#goneStarts.get(entry.id);
      return goneStart !== undefined && startedAt <= goneStart;
    }
    const isSameProcess = startedAt === 0 || known.startedAt === 0 ||
      startedAt === known.startedAt;
    return isSameProcess
      ? known.leaving && !entry.leaving
      : startedAt < known.startedAt;
  }

  /** A whole table may be older than what is known, and is no evidence that a process was replaced by an older one. */
  #withNewestStart(stated: UpstreamEntry): UpstreamEntry {
    const startedAt = Math.max(
      stated.startedAt,
      this.#entries.get(stated.id)?.startedAt ?? 0,
    );
    return { ...stated, startedAt };
  }

  #put(stated: UpstreamEntry): UpstreamUpdate | undefined {
    const known = this.#entries.get(stated.id);
    // An entry that doesn't state its start is no evidence of another process.
    const entry = stated.startedAt === 0 && known !== undefined
      ? { ...stated, startedAt: known.startedAt }
      : stated;
    this.#entries.set(entry.id, entry);
    this.#open.clear();
    const lapsed = this.#isKept(entry.id);
    const isSettled = this.#overruled.delete(entry.id);
    if (known === undefined) return { kind: "joined", id: entry.id };
    if (known.startedAt !== 0 && known.startedAt !== entry.startedAt) {
      return { kind: "restarted", id: entry.id };
    }
    if (!known.leaving && entry.leaving) {
      return { kind: "leaving", id: entry.id };
    }
    if (lapsed) return { kind: "returned", id: entry.id };
    const isUnchanged = known.address === entry.address &&
      known.service === entry.service && known.slots === entry.slots &&
      known.leaving === entry.leaving &&
      // An upstream that is warming up is no change; one that is cold again is.
      (entry.coldMs === undefined || entry.coldMs < (known.coldMs ?? 0));
    if (!isUnchanged) return { kind: "changed", id: entry.id };
    return isSettled ? { kind: "settled", id: entry.id } : undefined;
  }

  #remove(id: UpstreamId): UpstreamUpdate {
    this.#setGone(id, this.startedAt(id));
    this.#entries.delete(id);
    this.#open.clear();
    this.#overruled.delete(id);
    return { kind: "gone", id };
  }

  #setGone(id: UpstreamId, startedAt: number): void {
    this.#goneStarts.delete(id);
    this.#goneStarts.set(id, startedAt);
    if (this.#goneStarts.size > MAX_GONE_UPSTREAMS) {
      const [oldest] = this.#goneStarts.keys();
      this.#goneStarts.delete(oldest!);
    }
  }
}

/** How long entries that lapsed in an outage are kept after the register is available again. */
export const LAPSE_GRACE_MS: Millis = 2_200;

/** The entries that changes of the register hold. */
export function entriesOf(
  changes: readonly UpstreamChange[],
): readonly UpstreamEntry[] {
  return changes.flatMap((change) =>
    change.type === "entry" ? [change.entry] : []
  );
}
