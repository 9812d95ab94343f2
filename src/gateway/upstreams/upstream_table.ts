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
  | Readonly<{ type: "gone"; id: UpstreamId }>;

/** Effect of a change on the table. */
export type UpstreamUpdate = Readonly<{
  kind:
    | "joined"
    | "changed"
    | "leaving"
    | "gone"
    | "kept"
    | "returned"
    | "restarted";
  id: UpstreamId;
}>;

/** Removed upstreams whose start is kept; more than the largest deployment has. */
const MAX_GONE_UPSTREAMS = 1_024;

/** Upstreams listed in the register, as of the newest read. */
export class UpstreamTable {
  readonly #entries = new Map<UpstreamId, UpstreamEntry>();
  /** Entries that lapsed while the register may have been unavailable, and until when they are kept. */
  readonly #lapsed = new Map<UpstreamId, Timestamp>();
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

  /** Upstreams of a service that accept new requests, by the register. */
  open(service: ServiceId): readonly UpstreamEntry[] {
    return this.all().filter((entry) =>
      entry.service === service && !entry.leaving
    );
  }

  /**
   * Applies one change; returns undefined where the table stays the same. `lapseUntil` is given while entries may be
   * missing only because the register was unavailable: a missing entry is then kept until that time.
   */
  apply(
    change: UpstreamChange,
    options: { lapseUntil?: Timestamp } = {},
  ): UpstreamUpdate | undefined {
    if (change.type === "entry") return this.#put(change.entry);
    const known = this.#entries.get(change.id);
    if (known === undefined) return undefined;
    if (options.lapseUntil !== undefined && !known.leaving) {
      if (!this.#lapsed.has(change.id)) {
        this.#lapsed.set(change.id, options.lapseUntil);
      }
      return { kind: "kept", id: change.id };
    }
    return this.#remove(change.id);
  }

  /** Replaces the whole table with the entries of a full read. */
  replace(
    entries: readonly UpstreamEntry[],
    options: { lapseUntil?: Timestamp } = {},
  ): readonly UpstreamUpdate[] {
    const ids = new Set(entries.map((entry) => entry.id));
    const missing = [...this.#entries.keys()].filter((id) => !ids.has(id));
    const changes: UpstreamChange[] = [
      ...missing.map((id) => ({ type: "gone", id }) as const),
      ...entries.map((entry) => ({ type: "entry", entry }) as const),
    ];
    return changes.flatMap((change) => this.apply(change, options) ?? []);
  }

  /** Drops lapsed entries that were not listed again in time. */
  expire(now: Timestamp): readonly UpstreamUpdate[] {
    const updates: UpstreamUpdate[] = [];
    for (const [id, until] of this.#lapsed) {
      if (until <= now) updates.push(this.#remove(id));
    }
    return updates;
  }

  /** Time at which the next lapsed entry is dropped. */
  nextExpiry(): Timestamp | undefined {
    const times = [...this.#lapsed.values()];
    return times.length === 0 ? undefined : Math.min(...times) as Timestamp;
  }

  #put(stated: UpstreamEntry): UpstreamUpdate | undefined {
    const known = this.#entries.get(stated.id);
    // An entry that doesn't state its start is no evidence of another process.
    const entry = stated.startedAt === 0 && known !== undefined
      ? { ...stated, startedAt: known.startedAt }
      : stated;
    this.#entries.set(entry.id, entry);
    const lapsed = this.#lapsed.delete(entry.id);
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
      (entry.coldMs ?? 0) <= (known.coldMs ?? 0);
    return isUnchanged ? undefined : { kind: "changed", id: entry.id };
  }

  #remove(id: UpstreamId): UpstreamUpdate {
    this.#goneStarts.delete(id);
    this.#goneStarts.set(id, this.startedAt(id));
    if (this.#goneStarts.size > MAX_GONE_UPSTREAMS) {
      const [oldest] = this.#goneStarts.keys();
      this.#goneStarts.delete(oldest!);
    }
    this.#entries.delete(id);
    this.#lapsed.delete(id);
    return { kind: "gone", id };
  }
}

/** How long entries that lapsed in an outage are kept after the register is available again. */
export const LAPSE_GRACE_MS: Millis = 2_200;
