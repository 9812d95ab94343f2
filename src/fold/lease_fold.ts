import { z } from "zod";
import type {
  DaemonId,
  FencingNumber,
  GroupId,
  Offset,
  RecordId,
} from "../core/id.ts";
import type { Millis } from "../core/time.ts";
import { countSchema, idSchema } from "../wire/brands.ts";
import {
  CheckpointedFold,
  type Decision,
  type LoggedChange,
} from "./checkpointed_fold.ts";
import type { LogEntry } from "./log_reader.ts";

/** `base` of a grant if the group has no lease record yet. */
export const NO_LEASE = -1;

const ttlMs = z.number().int().positive();
const subjectFields = { id: idSchema<RecordId>(), group: idSchema<GroupId>() };
const fencing = countSchema<FencingNumber>();

/** Acquires a group's lease if `base` is still its newest record; the grant's offset becomes the fencing number. */
export const LeaseGrantSchema = z.object({
  type: z.literal("lease_grant"),
  ...subjectFields,
  holder: idSchema<DaemonId>(),
  /** Offset of the newest record of the previous lease; -1 for none. */
  base: z.number().int().min(NO_LEASE),
  ttlMs,
}).readonly();
/** Extends a lease that is still held under its fencing number. */
export const LeaseRenewalSchema = z.object({
  type: z.literal("lease_renewal"),
  ...subjectFields,
  fencing,
}).readonly();
/** Releases a lease. */
export const LeaseReleaseSchema = z.object({
  type: z.literal("lease_release"),
  ...subjectFields,
  fencing,
}).readonly();
const LeaseSchema = z.object({
  fencing,
  holder: idSchema<DaemonId>(),
  /** Offset of the newest record of this lease. */
  last: countSchema<Offset>(),
  ttlMs,
  released: z.boolean(),
}).readonly();
/** All leases after all records below `covers`. */
export const LeaseCheckpointSchema = z.object({
  type: z.literal("lease_checkpoint"),
  id: idSchema<RecordId>(),
  covers: countSchema<Offset>(),
  leases: z.array(z.tuple([idSchema<GroupId>(), LeaseSchema])).max(10_000),
}).readonly();

const LeaseChangeSchema = z.discriminatedUnion("type", [
  LeaseGrantSchema,
  LeaseRenewalSchema,
  LeaseReleaseSchema,
]);
const LeaseRecordSchema = z.union([LeaseChangeSchema, LeaseCheckpointSchema]);

/** A grant, a renewal or a release. */
export type LeaseChange = z.infer<typeof LeaseChangeSchema>;
/** A checkpoint of all leases. */
export type LeaseCheckpoint = z.infer<typeof LeaseCheckpointSchema>;
/** A group's lease; each daemon judges by its own clock whether it has expired. */
export type Lease = z.infer<typeof LeaseSchema>;
/** The lease of each group. */
export type Leases = ReadonlyMap<GroupId, Lease>;
/** Outcome of a lease change. */
export type LeaseDecision = Decision<Leases, LeaseChange>;

/** State of the leases stream; all readers arrive at the same holder and fencing number. */
export class LeaseFold extends CheckpointedFold<Leases, LeaseChange> {
  static create(): LeaseFold {
    return new LeaseFold(new Map());
  }

  protected override initial(): Leases {
    return new Map();
  }

  protected override apply(
    state: Leases,
    logged: LoggedChange<LeaseChange>,
  ): Leases | undefined {
    const { change, offset } = logged;
    const lease = nextLease(state.get(change.group), change, offset);
    if (lease === undefined) return undefined;
    return new Map(state).set(change.group, lease);
  }

  /** Folds one record of the stream; returns the decisions that follow from it. */
  foldRecord(entry: LogEntry): readonly LeaseDecision[] {
    const parsed = LeaseRecordSchema.safeParse(entry.value);
    if (!parsed.success) return [];
    const record = parsed.data;
    if (record.type !== "lease_checkpoint") {
      const { offset, at } = entry;
      return this.foldChange({ offset, at, change: record });
    }
    if (record.covers > entry.offset) return [];
    const state = new Map(record.leases);
    return this.applyCheckpoint({ covers: record.covers, state });
  }
}

function nextLease(
  lease: Lease | undefined,
  change: LeaseChange,
  offset: Offset,
): Lease | undefined {
  if (change.type === "lease_grant") {
    if ((lease?.last ?? NO_LEASE) !== change.base) return undefined;
    const { holder, ttlMs } = change;
    const fencing = offset as number as FencingNumber;
    return { fencing, holder, last: offset, ttlMs, released: false };
  }
  if (lease === undefined || lease.released) return undefined;
  if (lease.fencing !== change.fencing) return undefined;
  return { ...lease, last: offset, released: change.type === "lease_release" };
}

/** Time in ms after reading a lease's newest record during which no other daemon may acquire the lease. */
export function takeoverDelayMs(
  lease: Lease,
  options: { checksFencing: boolean; orderDelayMs: Millis },
): Millis {
  const heldMs = lease.released ? 0 : lease.ttlMs;
  return heldMs + (options.checksFencing ? 0 : options.orderDelayMs);
}
