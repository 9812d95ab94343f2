import type { Event } from "../core/event.ts";
import type { RecordId, StreamName } from "../core/id.ts";
import type { AppendRecord } from "../core/intent.ts";
import type { StepContext } from "../core/step_context.ts";
import { addMs, type Millis, SECOND_MS, type Timestamp } from "../core/time.ts";

/** Time after which an append without an answer is repeated, since its outcome is unknown. */
export const APPEND_TIMEOUT_MS: Millis = 10 * SECOND_MS;
const MIN_BACKOFF_MS: Millis = 100;
const MAX_BACKOFF_MS: Millis = 5 * SECOND_MS;

type PendingRecord = {
  readonly record: AppendRecord;
  sent: boolean;
  attempts: number;
  /** When the record is sent next, or when its pending append times out. */
  dueAt: Timestamp;
};

type AppendEnded = Extract<Event, { type: "append_ended" }>;

/** Records to append to one stream; each append is repeated with the same record id until it is confirmed. */
export class Outbox {
  readonly #stream: StreamName;
  readonly #max: number;
  readonly #items = new Map<RecordId, PendingRecord>();

  private constructor(stream: StreamName, max: number) {
    this.#stream = stream;
    this.#max = max;
  }

  static create(stream: StreamName, options: { max: number }): Outbox {
    return new Outbox(stream, options.max);
  }

  get size(): number {
    return this.#items.size;
  }

  /** Adds a record to append; returns false if there is no room. */
  add(record: AppendRecord, now: Timestamp): boolean {
    if (this.#items.size >= this.#max) return false;
    this.#items.set(record.id, {
      record,
      sent: false,
      attempts: 0,
      dueAt: now,
    });
    return true;
  }

  has(id: RecordId): boolean {
    return this.#items.has(id);
  }

  /** Stops appending a record; an append that is pending may still take effect. */
  cancel(id: RecordId): void {
    this.#items.delete(id);
  }

  /** Handles the answers to earlier appends. */
  handleAnswers(ctx: StepContext): void {
    for (const event of ctx.events) {
      if (event.type !== "append_ended" || event.stream !== this.#stream) {
        continue;
      }
      for (const id of event.records) this.#handleAnswer(ctx, id, event);
    }
  }

  /** Appends the records that are due, timed-out ones after a back-off. */
  sendDue(ctx: StepContext): void {
    const due: AppendRecord[] = [];
    for (const item of this.#items.values()) {
      if (item.sent && item.dueAt <= ctx.now) this.#scheduleRetry(ctx, item);
      if (!item.sent && item.dueAt <= ctx.now) {
        item.sent = true;
        item.dueAt = addMs(ctx.now, APPEND_TIMEOUT_MS);
        due.push(item.record);
      }
      ctx.wakeAt(item.dueAt);
    }
    if (due.length === 0) return;
    ctx.emit({ type: "append", stream: this.#stream, records: due });
  }

  #handleAnswer(ctx: StepContext, id: RecordId, event: AppendEnded): void {
    const item = this.#items.get(id);
    if (item === undefined || !item.sent) return;
    if (event.result === "appended") {
      this.#items.delete(id);
      return;
    }
    this.#scheduleRetry(ctx, item, event.retryAfterMs);
  }

  #scheduleRetry(
    ctx: StepContext,
    item: PendingRecord,
    retryAfterMs: Millis = 0,
  ): void {
    ctx.counters.add("log_append_retries");
    item.sent = false;
    item.attempts += 1;
    const maxBackoffMs = Math.min(
      MAX_BACKOFF_MS,
      MIN_BACKOFF_MS * 2 ** Math.min(item.attempts, 16),
    );
    const backoffMs = Math.ceil(maxBackoffMs * (1 + ctx.random.next()) / 2);
    item.dueAt = addMs(ctx.now, Math.max(retryAfterMs, backoffMs));
  }
}
