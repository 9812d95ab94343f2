import { Buffer } from "node:buffer";
import { err, ok, type Result } from "neverthrow";
import type { Offset } from "../../src/core/id.ts";
import {
  addMs,
  type Millis,
  SECOND_MS,
  type Timestamp,
} from "../../src/core/time.ts";
import {
  type LogBatch,
  type LogRecord,
  MAX_LOG_BODY_BYTES,
} from "../../src/wire/log.ts";

/** Limits of the log service. */
export type LogStoreConfig = Readonly<{
  /** Records older than this expire. */
  retentionMs: Millis;
  /** The oldest records beyond this count expire, in each stream. */
  maxRecords: number;
  /** Records a second that all streams together take. */
  recordsPerSecond: number;
  maxStreams: number;
}>;

/** Why the store refused a call; nothing was appended. */
export type LogStoreError =
  | Readonly<{ code: "rate_limited"; retryAfterMs: Millis }>
  | Readonly<{ code: "too_many_streams" }>
  | Readonly<{ code: "gone"; firstOffset: Offset }>;

type Stream = { first: number; records: LogRecord[] };

/** Append-only streams with offsets, limited retention and a limited append rate. */
export class LogStore {
  readonly #cfg: LogStoreConfig;
  readonly #streams = new Map<string, Stream>();
  #tokens: number;
  #filledAt: Timestamp | undefined;

  private constructor(cfg: LogStoreConfig) {
    this.#cfg = cfg;
    this.#tokens = cfg.recordsPerSecond;
  }

  static create(cfg: LogStoreConfig): LogStore {
    return new LogStore(cfg);
  }

  /** Appends values in order; returns the offset of the first. */
  append(
    now: Timestamp,
    name: string,
    values: readonly string[],
  ): Result<Offset, LogStoreError> {
    const limited = this.#takeTokens(now, values.length);
    if (limited !== undefined) return err(limited);
    const stream = this.#open(name);
    if (stream === undefined) return err({ code: "too_many_streams" });
    this.#expire(now, stream);
    const first = end(stream) as Offset;
    for (const value of values) {
      stream.records.push({ offset: end(stream) as Offset, at: now, value });
    }
    this.#expire(now, stream);
    return ok(first);
  }

  /** Reads from an offset on; an unknown stream is an empty one. */
  read(
    now: Timestamp,
    name: string,
    options: { from: number; limit: number },
  ): Result<LogBatch, LogStoreError> {
    const stream = this.#streams.get(name) ?? { first: 0, records: [] };
    this.#expire(now, stream);
    const { from, limit } = options;
    if (from < stream.first) {
      return err({ code: "gone", firstOffset: stream.first as Offset });
    }
    const start = from - stream.first;
    const records = fitting(stream.records.slice(start, start + limit));
    return ok({
      records,
      first_offset: stream.first as Offset,
      next_offset: from + records.length as Offset,
      end_offset: end(stream) as Offset,
    });
  }

  /** Expires the records of a stream below an offset. */
  expireBelow(name: string, offset: number): void {
    const stream = this.#streams.get(name);
    if (stream !== undefined) dropOldest(stream, offset - stream.first);
  }

  /** Returns the first and the end offset of each stream. */
  extents(): Record<string, { first_offset: number; end_offset: number }> {
    return Object.fromEntries(
      [...this.#streams].map(([name, stream]) => [
        name,
        { first_offset: stream.first, end_offset: end(stream) },
      ]),
    );
  }

  #takeTokens(now: Timestamp, count: number): LogStoreError | undefined {
    const rate = this.#cfg.recordsPerSecond;
    const elapsed = Math.max(0, now - (this.#filledAt ?? now));
    this.#filledAt = now;
    this.#tokens = Math.min(rate, this.#tokens + elapsed * rate / SECOND_MS);
    if (this.#tokens < 1) {
      const retryAfterMs = Math.ceil((1 - this.#tokens) * SECOND_MS / rate);
      return { code: "rate_limited", retryAfterMs };
    }
    this.#tokens -= count;
    return undefined;
  }

  #open(name: string): Stream | undefined {
    const known = this.#streams.get(name);
    if (known !== undefined) return known;
    if (this.#streams.size >= this.#cfg.maxStreams) return undefined;
    const stream: Stream = { first: 0, records: [] };
    this.#streams.set(name, stream);
    return stream;
  }

  #expire(now: Timestamp, stream: Stream): void {
    const oldest = addMs(now, -this.#cfg.retentionMs);
    const excess = stream.records.length - this.#cfg.maxRecords;
    let count = Math.max(0, excess);
    while (
      count < stream.records.length && stream.records[count]!.at < oldest
    ) {
      count += 1;
    }
    dropOldest(stream, count);
  }
}

function fitting(records: readonly LogRecord[]): LogRecord[] {
  let bytes = 0;
  const count = records.findIndex((record) => {
    bytes += Buffer.byteLength(record.value);
    return bytes > MAX_LOG_BODY_BYTES;
  });
  return count === -1 ? [...records] : records.slice(0, Math.max(1, count));
}

function end(stream: Stream): number {
  return stream.first + stream.records.length;
}

function dropOldest(stream: Stream, count: number): void {
  const dropped = stream.records.splice(0, Math.max(0, count));
  stream.first += dropped.length;
}
