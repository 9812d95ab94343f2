import { createHash } from "node:crypto";
import type { DaemonId } from "../core/id.ts";
import {
  type RecordBatch,
  RecordBatchSchema,
  type RequestRecord,
} from "../wire/record.ts";

const MAX_CHAINS = 100_000;

/** The end of a daemon's chain; the next batch follows it. */
export type ChainEnd = Readonly<{ seq: number; digest: string }>;

/** What a batch turned out to be. */
export type ChainLink =
  /** It follows the one before. */
  | Readonly<{ type: "batch"; batch: RecordBatch }>
  /** Batches of the daemon are missing before this one; `to` is the last of them. */
  | Readonly<{ type: "gap"; daemon: DaemonId; from: number; to: number }>
  /** Its digest is not that of its content, or it does not follow the one before. */
  | Readonly<
    { type: "altered"; daemon: string; seq: number; detail: string }
  >
  /** The same batch was seen before. */
  | Readonly<{ type: "doubled"; daemon: DaemonId; seq: number }>;

/** Builds the batch that follows the end of a daemon's chain. */
export function sealBatch(
  head: Pick<RecordBatch, "id" | "daemon">,
  records: readonly RequestRecord[],
  end: ChainEnd | undefined,
): RecordBatch {
  const body = {
    daemon: head.daemon,
    seq: end === undefined ? 0 : end.seq + 1,
    previous: end?.digest ?? "",
    records: [...records],
  };
  const digest = digestOf(body);
  return { type: "record_batch", id: head.id, ...body, digest };
}

/** Checks batches against their daemons' chains, in the order of the stream. */
export class RecordChains {
  readonly #ends = new Map<string, ChainEnd>();

  private constructor() {}

  static create(): RecordChains {
    return new RecordChains();
  }

  /** Daemons whose chains were met. */
  get daemons(): number {
    return this.#ends.size;
  }

  /** Checks one record of the stream; a gap comes before the batch that shows it. */
  take(value: unknown): readonly ChainLink[] {
    const parsed = RecordBatchSchema.safeParse(value);
    if (!parsed.success) {
      return [{
        type: "altered",
        daemon: "",
        seq: -1,
        detail: "it is not a batch of records",
      }];
    }
    return this.#follow(parsed.data);
  }

  #follow(batch: RecordBatch): readonly ChainLink[] {
    const { daemon, seq, previous, digest } = batch;
    if (digestOf(batch) !== digest) {
      return [altered(batch, "its digest is not that of its content")];
    }
    const end = this.#ends.get(daemon);
    const next = end === undefined ? 0 : end.seq + 1;
    if (end !== undefined && seq <= end.seq) {
      if (seq < end.seq || digest === end.digest) {
        return [{ type: "doubled", daemon, seq }];
      }
      return [altered(batch, "another batch has its number")];
    }
    const follows = seq > next || previous === (end?.digest ?? "");
    if (!follows) return [altered(batch, "it does not follow the one before")];
    this.#remember(daemon, { seq, digest });
    const link: ChainLink = { type: "batch", batch };
    if (seq === next) return [link];
    return [{ type: "gap", daemon, from: next, to: seq - 1 }, link];
  }

  /** Forgetting the oldest chain makes its next batch show as a gap, never as whole. */
  #remember(daemon: string, end: ChainEnd): void {
    this.#ends.delete(daemon);
    this.#ends.set(daemon, end);
    if (this.#ends.size <= MAX_CHAINS) return;
    for (const oldest of this.#ends.keys()) {
      this.#ends.delete(oldest);
      return;
    }
  }
}

function altered(batch: RecordBatch, detail: string): ChainLink {
  return { type: "altered", daemon: batch.daemon, seq: batch.seq, detail };
}

/** The order of keys is that of the schema, so equal content has an equal digest. */
function digestOf(
  { daemon, seq, previous, records }: Omit<
    RecordBatch,
    "type" | "id" | "digest"
  >,
): string {
  const ordered = records.map((record) =>
    Object.entries(record).filter(([, value]) => value !== undefined)
      .sort(([a], [b]) => a < b ? -1 : 1)
  );
  return createHash("sha256")
    .update(JSON.stringify([daemon, seq, previous, ordered])).digest("hex");
}
