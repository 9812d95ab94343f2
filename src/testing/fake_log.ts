import type { Event } from "../core/event.ts";
import type { Offset, RecordId, StreamName } from "../core/id.ts";
import type { AppendRecord, Intent } from "../core/intent.ts";
import type { Random } from "../core/random.ts";
import { type Millis, SECOND_MS, type Timestamp } from "../core/time.ts";
import type { LogRecord } from "../wire/log.ts";
import type { VirtualTime } from "./virtual_time.ts";

const LONG_POLL_MS: Millis = 4 * SECOND_MS;
const TIMEOUT_MS: Millis = 3 * SECOND_MS;
const MAX_READ_RECORDS = 100;

/** How the log behaves at the moment. */
export type LogMode =
  | "up"
  /** Connections are refused, and appends have no effect. */
  | "down"
  /** Appends take effect, but their responses are lost. */
  | "deaf"
  /** Appends succeed, and reads time out. */
  | "unreadable"
  /** Calls time out, and appends have no effect. */
  | "silent"
  /** Requests and responses take up to 4 s each. */
  | "slow";

/** Receives the events that a fake produces. */
export type Deliver = (event: Event) => void;

type ReadLog = Extract<Intent, { type: "read_log" }>;
type Waiter = { done: boolean; wake: () => void };
type Stream = { first: number; records: LogRecord[]; waiters: Waiter[] };

/** In-memory log service: ordered streams, limited retention, long-poll reads and injected faults. */
export class FakeLog {
  mode: LogMode = "up";
  /** Every appended record, expired ones included. */
  readonly history = new Map<StreamName, LogRecord[]>();
  readonly #streams = new Map<StreamName, Stream>();
  readonly #time: VirtualTime;
  readonly #random: Random;
  readonly #retentionMs: Millis;

  private constructor(
    time: VirtualTime,
    random: Random,
    retentionMs: Millis,
  ) {
    this.#time = time;
    this.#random = random;
    this.#retentionMs = retentionMs;
  }

  static create(
    time: VirtualTime,
    random: Random,
    options: { retentionMs: Millis },
  ): FakeLog {
    return new FakeLog(time, random, options.retentionMs);
  }

  /** Appends immediately, without faults; returns the offset of the first record. */
  put(name: StreamName, values: readonly string[]): Offset {
    const stream = this.#stream(name);
    const history = this.history.get(name) ?? [];
    this.history.set(name, history);
    const first = stream.first + stream.records.length;
    values.forEach((value, index) => {
      const offset = (first + index) as Offset;
      const record = { offset, at: this.#time.now, value };
      stream.records.push(record);
      history.push(record);
    });
    const waiters = stream.waiters.splice(0);
    for (const waiter of waiters) waiter.wake();
    return first as Offset;
  }

  /** Expires all records but the newest `keep`. */
  expire(name: StreamName, keep: number): void {
    const stream = this.#stream(name);
    const drop = Math.max(0, stream.records.length - keep);
    stream.records.splice(0, drop);
    stream.first += drop;
  }

  /** Appends records as the present mode allows, and delivers the outcome. */
  append(
    name: StreamName,
    records: readonly AppendRecord[],
    deliver: Deliver,
  ): void {
    const { mode } = this;
    const ids = records.map((record) => record.id);
    const values = records.map((record) => record.body);
    if (mode === "silent") {
      return this.#endAppend(
        name,
        ids,
        { result: "unknown", deliver },
        TIMEOUT_MS,
      );
    }
    this.#time.schedule(this.#delay(mode), () => {
      if (mode === "down" || this.mode === "down") {
        return this.#endAppend(name, ids, { result: "refused", deliver }, 1);
      }
      this.put(name, values);
      if (mode === "deaf") {
        return this.#endAppend(
          name,
          ids,
          { result: "unknown", deliver },
          TIMEOUT_MS,
        );
      }
      this.#endAppend(
        name,
        ids,
        { result: "appended", deliver },
        this.#delay(mode),
      );
    });
  }

  /** Reads records from an offset, with a long poll if `wait` is set. */
  read(read: ReadLog, deliver: Deliver): void {
    const { mode } = this;
    const { stream: name } = read;
    const fail = (ms: Millis) =>
      this.#time.schedule(
        ms,
        () => deliver({ type: "log_unreachable", stream: name }),
      );
    if (mode === "down") return fail(1);
    if (mode === "silent" || mode === "unreadable") {
      return fail(LONG_POLL_MS + TIMEOUT_MS);
    }
    this.#time.schedule(this.#delay(mode), () => this.#poll(read, deliver));
  }

  #poll(read: ReadLog, deliver: Deliver): void {
    const { stream: name, from } = read;
    const stream = this.#stream(name);
    this.#dropExpired(stream);
    const end = stream.first + stream.records.length;
    if (from < end || !read.wait) {
      return this.#endRead(name, from, deliver);
    }
    const waiter: Waiter = { done: false, wake: () => {} };
    waiter.wake = () => {
      if (waiter.done) return;
      waiter.done = true;
      this.#time.schedule(
        this.#delay("up"),
        () => this.#endRead(name, from, deliver),
      );
    };
    stream.waiters.push(waiter);
    this.#time.schedule(LONG_POLL_MS, waiter.wake);
  }

  #endRead(name: StreamName, from: Offset, deliver: Deliver): void {
    const stream = this.#stream(name);
    if (this.mode !== "up" && this.mode !== "slow" && this.mode !== "deaf") {
      return deliver({ type: "log_unreachable", stream: name });
    }
    if (from < stream.first) {
      const firstOffset = stream.first as Offset;
      return deliver({ type: "log_gap", stream: name, firstOffset });
    }
    const start = from - stream.first;
    const records = stream.records.slice(start, start + MAX_READ_RECORDS);
    deliver({
      type: "log_read",
      stream: name,
      records,
      nextOffset: (from + records.length) as Offset,
      endOffset: (stream.first + stream.records.length) as Offset,
    });
  }

  #endAppend(
    stream: StreamName,
    records: readonly RecordId[],
    end: { result: "appended" | "refused" | "unknown"; deliver: Deliver },
    delayMs: Millis,
  ): void {
    const { result, deliver } = end;
    this.#time.schedule(
      delayMs,
      () => deliver({ type: "append_ended", stream, records, result }),
    );
  }

  #delay(mode: LogMode): Millis {
    const maxMs = mode === "slow" ? 4_000 : 20;
    return 1 + this.#random.below(maxMs);
  }

  #dropExpired(stream: Stream): void {
    const oldest = (this.#time.now - this.#retentionMs) as Timestamp;
    while (stream.records[0] !== undefined && stream.records[0].at < oldest) {
      stream.records.shift();
      stream.first += 1;
    }
  }

  #stream(name: StreamName): Stream {
    const known = this.#streams.get(name);
    if (known !== undefined) return known;
    const stream: Stream = { first: 0, records: [], waiters: [] };
    this.#streams.set(name, stream);
    return stream;
  }
}
