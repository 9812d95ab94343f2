import type { Event } from "../../src/core/event.ts";
import type { Offset, StreamName } from "../../src/core/id.ts";
import type { AppendRecord } from "../../src/core/intent.ts";
import type { Random } from "../../src/core/random.ts";
import type { Millis, Timestamp } from "../../src/core/time.ts";
import type { LogRecord } from "../../src/wire/log.ts";
import { LogStore } from "../../stand_ins/log_service/log_store.ts";
import type { LogFault } from "./schedule.ts";
import type { Timeline } from "./timeline.ts";

const POLL_MS: Millis = 4_000;
const GIVE_UP_MS: Millis = 3_000;
const NETWORK_MS: Millis = 10;
const SLOW_MS: Millis = 4_000;
const LATE_MS: Millis = 20_000;
const READ_LIMIT = 100;

/** Hands an event to the one who asked. */
export type Tell = (event: Event) => void;

/** The platform's log with its faults: answers lost, effects late, records expired. */
export class FakeLog {
  fault: LogFault | undefined;
  /** All records that were ever taken, with those that have expired. */
  readonly history = new Map<StreamName, LogRecord[]>();
  readonly #waiters = new Map<StreamName, readonly (() => void)[]>();
  readonly #store: LogStore;
  readonly #timeline: Timeline;
  readonly #random: Random;

  private constructor(
    timeline: Timeline,
    random: Random,
    retentionMs: Millis,
  ) {
    this.#timeline = timeline;
    this.#random = random;
    this.#store = LogStore.create({
      retentionMs,
      maxRecords: 10_000,
      recordsPerSecond: 300,
      maxStreams: 16,
    });
  }

  static create(
    timeline: Timeline,
    random: Random,
    retentionMs: Millis,
  ): FakeLog {
    return new FakeLog(timeline, random, retentionMs);
  }

  /** Appends one record for each value at once. */
  put(stream: StreamName, values: readonly string[]): void {
    const now = this.#timeline.now;
    const first = this.#store.append(now, stream, values);
    if (first.isErr()) return;
    const records = this.history.get(stream) ?? [];
    this.history.set(stream, records);
    values.forEach((value, index) => {
      const offset = (first.value + index) as Offset;
      records.push({ offset, at: now, value });
    });
    this.#wake(stream);
  }

  /** Drops the records that are older than `oldest`. */
  expireBefore(stream: StreamName, oldest: Timestamp): void {
    const kept = this.history.get(stream)?.find(({ at }) => at >= oldest);
    if (kept !== undefined) this.#store.expireBelow(stream, kept.offset);
  }

  append(
    stream: StreamName,
    records: readonly AppendRecord[],
    tell: Tell,
  ): void {
    const { fault } = this;
    const ids = records.map((record) => record.id);
    const values = records.map((record) => record.body);
    const end = (result: "appended" | "refused" | "unknown", ms: Millis) =>
      this.#timeline.after(
        ms,
        () => tell({ type: "append_ended", stream, records: ids, result }),
      );
    if (fault === "down") return end("refused", NETWORK_MS);
    if (fault === "silent") return end("unknown", GIVE_UP_MS);
    const isAnswered = fault === undefined || fault === "slow";
    if (!isAnswered) end("unknown", GIVE_UP_MS);
    this.#timeline.after(this.#effectMs(), () => {
      this.put(stream, values);
      if (isAnswered) end("appended", NETWORK_MS);
    });
  }

  /** Reads, waiting for a first record. */
  read(
    stream: StreamName,
    from: Offset,
    options: Readonly<{ tell: Tell; waitMs?: Millis }>,
  ): void {
    const { tell, waitMs = POLL_MS } = options;
    const waitUntil = this.#timeline.now + waitMs;
    const { fault } = this;
    if (fault === "down" || fault === "silent") {
      const ms = fault === "down" ? NETWORK_MS : POLL_MS + GIVE_UP_MS;
      return this.#timeline.after(
        ms,
        () => tell({ type: "log_unreachable", stream }),
      );
    }
    const delay = fault === "slow" ? this.#random.below(SLOW_MS) : NETWORK_MS;
    this.#timeline.after(
      delay,
      () => this.#poll(stream, { from, waitUntil, tell }),
    );
  }

  #poll(
    stream: StreamName,
    poll: Readonly<{ from: Offset; waitUntil: number; tell: Tell }>,
  ): void {
    const { from, waitUntil, tell } = poll;
    const now = this.#timeline.now;
    if (this.fault === "down" || this.fault === "silent") {
      return tell({ type: "log_unreachable", stream });
    }
    const batch = this.#store.read(now, stream, { from, limit: READ_LIMIT });
    if (batch.isErr()) {
      const gone = batch.error.code === "gone" ? batch.error : undefined;
      const firstOffset = gone?.firstOffset ?? 0 as Offset;
      return tell({ type: "log_gap", stream, firstOffset });
    }
    const { records, next_offset, end_offset } = batch.value;
    if (records.length === 0 && now < waitUntil) {
      return this.#wait(stream, waitUntil, () => this.#poll(stream, poll));
    }
    tell({
      type: "log_read",
      stream,
      records,
      nextOffset: next_offset,
      endOffset: end_offset,
    });
  }

  /** Runs `wake` at the next append or at `until`, once. */
  #wait(stream: StreamName, until: number, wake: () => void): void {
    let isDone = false;
    const once = () => {
      if (isDone) return;
      isDone = true;
      wake();
    };
    const waiters = this.#waiters.get(stream) ?? [];
    this.#waiters.set(stream, [...waiters, once]);
    this.#timeline.after(until - this.#timeline.now, once);
  }

  #wake(stream: StreamName): void {
    const waiters = this.#waiters.get(stream) ?? [];
    this.#waiters.delete(stream);
    for (const wake of waiters) this.#timeline.after(NETWORK_MS, wake);
  }

  #effectMs(): Millis {
    if (this.fault === "slow") return this.#random.below(SLOW_MS);
    if (this.fault === "late") return this.#random.below(LATE_MS);
    return 1 + this.#random.below(NETWORK_MS);
  }
}
