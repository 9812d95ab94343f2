import { z } from "zod";
import type { Offset, RecordId } from "../core/id.ts";
import type { Millis, Timestamp } from "../core/time.ts";
import { idSchema } from "../wire/brands.ts";
import type { LogRecord } from "../wire/log.ts";

const IdentifiedSchema = z.looseObject({ id: idSchema<RecordId>() });

/** A record read for the first time, in the order of its stream; `value` is parsed JSON. */
export type LogEntry = Readonly<{
  offset: Offset;
  at: Timestamp;
  id: RecordId;
  value: unknown;
}>;

/** Result of one read of the log. */
export type ReadBatch = Readonly<{
  records: readonly LogRecord[];
  nextOffset: Offset;
  endOffset: Offset;
}>;

/** Result of reading a batch: records to fold, or a gap, after which the state must be rebuilt. */
export type ReadResult =
  | Readonly<{ type: "entries"; entries: readonly LogEntry[]; ignored: number }>
  | Readonly<{ type: "gap"; expected: Offset; found: Offset }>;

/** How long, and how many, record ids are kept to detect duplicates. */
export type ReaderOptions = Readonly<{ idRetentionMs: Millis; maxIds: number }>;

/** Reads one stream: each record once, in order, and never across a gap. */
export class LogReader {
  readonly #options: ReaderOptions;
  readonly #seenIds = new Map<RecordId, Timestamp>();
  #next = 0 as Offset;
  #end: Offset | undefined;

  private constructor(options: ReaderOptions) {
    this.#options = options;
  }

  static create(options: ReaderOptions): LogReader {
    return new LogReader(options);
  }

  /** Offset of the next record to read. */
  get next(): Offset {
    return this.#next;
  }

  /** Whether the reader had reached the end of the log at the last read. */
  get caughtUp(): boolean {
    return this.#end !== undefined && this.#next >= this.#end;
  }

  /** Reads a batch; records before `next` and records with a known id are skipped. */
  read(batch: ReadBatch): ReadResult {
    const entries: LogEntry[] = [];
    let ignored = 0;
    for (const record of batch.records) {
      if (record.offset < this.#next) continue;
      if (record.offset > this.#next) return this.#gap(record.offset);
      this.#next = (record.offset + 1) as Offset;
      const entry = this.#toEntry(record);
      if (entry === undefined) ignored += 1;
      else entries.push(entry);
    }
    if (batch.nextOffset > this.#next) return this.#gap(batch.nextOffset);
    this.#end = batch.endOffset;
    return { type: "entries", entries, ignored };
  }

  /** Restarts at the oldest record that is still kept. */
  restart(first: Offset): void {
    this.#next = first;
    this.#end = undefined;
    this.#seenIds.clear();
  }

  #gap(found: Offset): ReadResult {
    return { type: "gap", expected: this.#next, found };
  }

  #toEntry(record: LogRecord): LogEntry | undefined {
    const value = parseJson(record.value);
    const parsed = IdentifiedSchema.safeParse(value);
    if (!parsed.success || this.#seenIds.has(parsed.data.id)) return undefined;
    const { id } = parsed.data;
    this.#rememberId(id, record.at);
    return { offset: record.offset, at: record.at, id, value };
  }

  #rememberId(id: RecordId, at: Timestamp): void {
    this.#seenIds.set(id, at);
    for (const [oldest, seenAt] of this.#seenIds) {
      const expired = at - seenAt > this.#options.idRetentionMs;
      if (!expired && this.#seenIds.size <= this.#options.maxIds) return;
      this.#seenIds.delete(oldest);
    }
  }
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
