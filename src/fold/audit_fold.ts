import { createHash } from "node:crypto";
import { z } from "zod";
import type {
  AdapterId,
  ClassId,
  DaemonId,
  Digest,
  ModelId,
  RecordId,
  RequestId,
  ServiceId,
  TeamId,
  VersionId,
} from "../core/id.ts";
import type { Timestamp } from "../core/time.ts";
import { VerdictSchema } from "../core/verdict.ts";
import { countSchema, idSchema } from "../wire/brands.ts";

const countField = z.number().int().nonnegative();

/** Audit record of one request: digests and metadata, never its text. */
export const AuditEntrySchema = z.object({
  request: idSchema<RequestId>(),
  team: idSchema<TeamId>(),
  class: idSchema<ClassId>(),
  /** Digest of the request. */
  asked: idSchema<Digest>(),
  /** Digest of this daemon's answer; absent if the answer was not complete. */
  answered: idSchema<Digest>().optional(),
  /** Revision of the configuration that the request was admitted under. */
  revision: z.number().int(),
  model: idSchema<ModelId>().optional(),
  version: idSchema<VersionId>().optional(),
  adapter: idSchema<AdapterId>().optional(),
  service: idSchema<ServiceId>().optional(),
  /** `ok`, `recorded`, `forwarded`, or the reason of the failure. */
  end: z.string(),
  verdict: VerdictSchema,
  attempts: countField,
  tokens: countField,
  arrivedAt: countSchema<Timestamp>(),
  endedAt: countSchema<Timestamp>(),
}).readonly();
/** Audit record of one request. */
export type AuditEntry = z.infer<typeof AuditEntrySchema>;

const AuditBatchBodySchema = z.object({
  daemon: idSchema<DaemonId>(),
  /** Grows by one with each batch of one daemon run, from 0. */
  seq: countField,
  /** Hash of the previous batch; empty for the first. */
  previous: z.string(),
  /** Requests before this batch that were dropped because the buffer was full while the log was unavailable. */
  lost: countField,
  /** Whether this is the last batch before an orderly shutdown of the daemon. */
  closed: z.boolean(),
  entries: z.array(AuditEntrySchema),
});
type AuditBatchBody = z.infer<typeof AuditBatchBodySchema>;

/** A link of one daemon run's hash chain. */
export const AuditBatchSchema = AuditBatchBodySchema.extend({
  type: z.literal("audit_batch"),
  id: idSchema<RecordId>(),
  hash: z.string(),
}).readonly();
/** A link of one daemon run's hash chain. */
export type AuditBatch = z.infer<typeof AuditBatchSchema>;

/** Result of reading a chain, in the order of the chain. */
export type AuditFinding =
  | Readonly<{ type: "batch"; batch: AuditBatch }>
  /** Batches `from` to `to` are missing. */
  | Readonly<{ type: "gap"; daemon: DaemonId; from: number; to: number }>
  /** Requests that the daemon itself dropped. */
  | Readonly<{ type: "lost"; daemon: DaemonId; seq: number; count: number }>
  /** A batch was changed, doesn't link to the previous batch, or shares its number with another batch. */
  | Readonly<
    {
      type: "broken";
      daemon: DaemonId;
      seq: number;
      reason: "hash" | "link" | "rival";
    }
  >
  /** End of the batches that were read of a run; only a closed run is known to be complete. */
  | Readonly<
    { type: "end"; daemon: DaemonId; batches: number; closed: boolean }
  >;

const MAX_PENDING_BATCHES = 1_024;

/** Returns the hash of a batch: SHA-256 over its fields in a fixed order. */
export function auditBatchHash(batch: AuditBatchBody): string {
  const { daemon, seq, previous, lost, closed, entries } = batch;
  const fields = [
    daemon,
    seq,
    previous,
    lost,
    closed,
    entries.map(sortedFields),
  ];
  return createHash("sha256").update(JSON.stringify(fields)).digest("hex");
}

/** Builds the next link of a chain. */
export function createAuditBatch(
  id: RecordId,
  body: AuditBatchBody,
): AuditBatch {
  return { type: "audit_batch", id, ...body, hash: auditBatchHash(body) };
}

type DaemonRun = {
  nextSeq: number;
  previousHash: string;
  batches: number;
  closed: boolean;
  readonly hashes: Map<number, string>;
  readonly pending: Map<number, AuditBatch>;
};

/** Sorts the batches of each daemon run and verifies their hashes and links; missing batches are reported as gaps. */
export class AuditChain {
  readonly #runs = new Map<DaemonId, DaemonRun>();

  static create(): AuditChain {
    return new AuditChain();
  }

  /** Adds a record of the stream or a line of an export, as parsed JSON; anything but a batch is ignored. */
  addRecord(value: unknown): readonly AuditFinding[] {
    const parsed = AuditBatchSchema.safeParse(value);
    if (!parsed.success) return [];
    const batch = parsed.data;
    const run = this.#runOf(batch.daemon);
    if (batch.seq < run.nextSeq || run.pending.has(batch.seq)) {
      return this.#checkRepeated(run, batch);
    }
    run.pending.set(batch.seq, batch);
    run.hashes.set(batch.seq, batch.hash);
    const findings = this.#readPending(run);
    if (run.pending.size <= MAX_PENDING_BATCHES) return findings;
    return [...findings, ...this.#skipGap(batch.daemon, run)];
  }

  /** Reports the remaining gaps and the end of each run. */
  finish(): readonly AuditFinding[] {
    return [...this.#runs].flatMap(([daemon, run]) => {
      const findings: AuditFinding[] = [];
      while (run.pending.size > 0) findings.push(...this.#skipGap(daemon, run));
      const { batches, closed } = run;
      return [...findings, { type: "end", daemon, batches, closed }];
    });
  }

  /** A repeated batch is ignored; one with the same number but other content is reported. */
  #checkRepeated(run: DaemonRun, batch: AuditBatch): readonly AuditFinding[] {
    const known = run.hashes.get(batch.seq);
    if (known === undefined || known === batch.hash) return [];
    const { daemon, seq } = batch;
    return [{ type: "broken", daemon, seq, reason: "rival" }];
  }

  #readPending(run: DaemonRun): AuditFinding[] {
    const findings: AuditFinding[] = [];
    for (;;) {
      const batch = run.pending.get(run.nextSeq);
      if (batch === undefined) return findings;
      run.pending.delete(run.nextSeq);
      findings.push(...checkBatch(run, batch));
      run.nextSeq += 1;
      run.previousHash = batch.hash;
      run.batches += 1;
      run.closed = batch.closed;
      run.hashes.delete(batch.seq - MAX_PENDING_BATCHES);
    }
  }

  #skipGap(daemon: DaemonId, run: DaemonRun): readonly AuditFinding[] {
    const first = Math.min(...run.pending.keys());
    const gap = {
      type: "gap" as const,
      daemon,
      from: run.nextSeq,
      to: first - 1,
    };
    run.nextSeq = first;
    run.previousHash = run.pending.get(first)?.previous ?? "";
    return [gap, ...this.#readPending(run)];
  }

  #runOf(daemon: DaemonId): DaemonRun {
    const known = this.#runs.get(daemon);
    if (known !== undefined) return known;
    const run: DaemonRun = {
      nextSeq: 0,
      previousHash: "",
      batches: 0,
      closed: false,
      hashes: new Map(),
      pending: new Map(),
    };
    this.#runs.set(daemon, run);
    return run;
  }
}

function checkBatch(
  run: DaemonRun,
  batch: AuditBatch,
): readonly AuditFinding[] {
  const { daemon, seq, lost } = batch;
  const findings: AuditFinding[] = [];
  if (auditBatchHash(batch) !== batch.hash) {
    findings.push({ type: "broken", daemon, seq, reason: "hash" });
  }
  if (batch.previous !== run.previousHash) {
    findings.push({ type: "broken", daemon, seq, reason: "link" });
  }
  if (lost > 0) findings.push({ type: "lost", daemon, seq, count: lost });
  return [...findings, { type: "batch", batch }];
}

/** Fields sorted by name, so that a re-parsed entry has the same hash. */
function sortedFields(entry: AuditEntry): readonly unknown[] {
  return Object.entries(entry)
    .filter(([, value]) => value !== undefined)
    .sort(([a], [b]) => (a < b ? -1 : 1));
}
