import type { Event } from "../core/event.ts";
import type { Offset, StreamName } from "../core/id.ts";
import type { StepContext } from "../core/step_context.ts";
import { addMs, type Millis, SECOND_MS, type Timestamp } from "../core/time.ts";
import {
  type LogEntry,
  LogReader,
  type ReadBatch,
  type ReaderOptions,
} from "./log_reader.ts";

/** Time after which a read without an answer counts as failed. */
export const READ_TIMEOUT_MS: Millis = 20 * SECOND_MS;
const MIN_BACKOFF_MS: Millis = 100;
const MAX_BACKOFF_MS: Millis = 3 * SECOND_MS;

/** What one step read from a stream. */
export type TailStep = Readonly<{
  /** Set after a gap: the state must be rebuilt from this offset. */
  restartedAt: Offset | undefined;
  entries: readonly LogEntry[];
  /** Whether the log has answered in this step. */
  answered: boolean;
}>;

/** Keeps one read of a stream pending and returns its records in order. */
export class LogTail {
  readonly #stream: StreamName;
  readonly #reader: LogReader;
  #readingSince: Timestamp | undefined;
  #retryAt: Timestamp | undefined;
  #failures = 0;
  #failingSince: Timestamp | undefined;

  private constructor(stream: StreamName, reader: LogReader) {
    this.#stream = stream;
    this.#reader = reader;
  }

  static create(stream: StreamName, options: ReaderOptions): LogTail {
    return new LogTail(stream, LogReader.create(options));
  }

  get reader(): LogReader {
    return this.#reader;
  }

  /** When the first of the latest consecutive failed reads failed; undefined after a successful read. */
  get failingSince(): Timestamp | undefined {
    return this.#failingSince;
  }

  /** Handles the step's events and requests the next read when it is due. */
  step(ctx: StepContext): TailStep {
    const entries: LogEntry[] = [];
    let restartedAt: Offset | undefined;
    let answered = false;
    for (const event of ctx.events) {
      if (!("stream" in event) || event.stream !== this.#stream) continue;
      if (!this.#handleEvent(ctx, event, entries)) continue;
      answered = true;
      if (event.type === "log_gap") restartedAt = event.firstOffset;
    }
    this.#requestRead(ctx);
    return { restartedAt, entries, answered };
  }

  #handleEvent(ctx: StepContext, event: Event, entries: LogEntry[]): boolean {
    switch (event.type) {
      case "log_read":
        return this.#handleBatch(ctx, event, entries);
      case "log_gap":
        entries.length = 0;
        this.#endRead();
        this.#reader.restart(event.firstOffset);
        ctx.counters.add("log_gaps");
        return true;
      case "log_unreachable":
        this.#failRead(ctx);
        return false;
      default:
        return false;
    }
  }

  #handleBatch(
    ctx: StepContext,
    batch: ReadBatch,
    entries: LogEntry[],
  ): boolean {
    const result = this.#reader.read(batch);
    if (result.type === "gap") {
      this.#failRead(ctx);
      return false;
    }
    this.#endRead();
    entries.push(...result.entries);
    ctx.counters.add("log_records_ignored", result.ignored);
    return true;
  }

  #endRead(): void {
    this.#failures = 0;
    this.#failingSince = undefined;
    this.#readingSince = undefined;
    this.#retryAt = undefined;
  }

  #failRead(ctx: StepContext): void {
    this.#failures += 1;
    this.#failingSince ??= ctx.now;
    ctx.counters.add("log_read_failures");
    const maxBackoffMs = Math.min(
      MAX_BACKOFF_MS,
      MIN_BACKOFF_MS * 2 ** Math.min(this.#failures, 16),
    );
    this.#readingSince = undefined;
    this.#retryAt = addMs(
      ctx.now,
      Math.ceil(maxBackoffMs * (1 + ctx.random.next()) / 2),
    );
  }

  #requestRead(ctx: StepContext): void {
    const since = this.#readingSince;
    if (since !== undefined && ctx.now - since >= READ_TIMEOUT_MS) {
      this.#failRead(ctx);
    }
    if (this.#retryAt !== undefined && ctx.now < this.#retryAt) {
      return ctx.wakeAt(this.#retryAt);
    }
    if (this.#readingSince === undefined) {
      this.#readingSince = ctx.now;
      this.#retryAt = undefined;
      ctx.emit({
        type: "read_log",
        stream: this.#stream,
        from: this.#reader.next,
        wait: this.#reader.caughtUp && this.#failures === 0,
      });
    }
    ctx.wakeAt(addMs(this.#readingSince, READ_TIMEOUT_MS));
  }
}
