import type { Blackboard } from "../board/blackboard.ts";
import type { RequestEnd } from "../board/requests_section.ts";
import { Controller } from "../core/controller.ts";
import type { RecordId } from "../core/id.ts";
import type { StepContext } from "../core/step_context.ts";
import { addMs, type Millis, SECOND_MS, type Timestamp } from "../core/time.ts";
import { type AuditEntry, createAuditBatch } from "../fold/audit_fold.ts";
import { Outbox } from "../fold/outbox.ts";
import { RECORDS_STREAM } from "../fold/streams.ts";

/** Time over which records are collected into one batch. */
const BATCH_INTERVAL_MS: Millis = SECOND_MS;
const MAX_BATCH_ENTRIES = 200;
const MAX_QUEUED_ENTRIES = 10_000;
const MAX_UNCONFIRMED_BATCHES = 8;

/** Appends an audit record of each ended request to the log, in batches that form one hash chain per daemon run. */
export class RecordController extends Controller {
  override readonly name = "records";
  readonly #outbox = Outbox.create(RECORDS_STREAM, {
    max: MAX_UNCONFIRMED_BATCHES,
  });
  #queue: AuditEntry[] = [];
  #lostCount = 0;
  #seq = 0;
  #previousHash = "";
  #dueAt: Timestamp | undefined;
  #closed = false;

  static create(): RecordController {
    return new RecordController();
  }

  override step(board: Blackboard, ctx: StepContext): void {
    this.#outbox.handleAnswers(ctx);
    for (const end of board.requests.ended) this.#enqueue(ctx, end);
    this.#appendDueBatches(board, ctx);
    this.#outbox.sendDue(ctx);
    board.records.unconfirmed = this.#queue.length + this.#outbox.size;
  }

  #enqueue(ctx: StepContext, end: RequestEnd): void {
    if (this.#queue.length < MAX_QUEUED_ENTRIES) {
      this.#queue.push(toEntry(end, ctx.now));
      this.#dueAt ??= addMs(ctx.now, BATCH_INTERVAL_MS);
      return;
    }
    this.#lostCount += 1;
    ctx.counters.add("audit_records_lost");
  }

  /** Appends the batches that are due; the last batch of a planned stop closes the chain. */
  #appendDueBatches(board: Blackboard, ctx: StepContext): void {
    const stopping = board.members.drain === "refusing" &&
      board.requests.byId.size === 0;
    while (this.#outbox.size < MAX_UNCONFIRMED_BATCHES) {
      const due = this.#queue.length >= MAX_BATCH_ENTRIES ||
        (this.#dueAt !== undefined && ctx.now >= this.#dueAt) ||
        (stopping && !this.#closed);
      if (!due) break;
      this.#appendBatch(board, ctx, stopping);
    }
    if (this.#dueAt !== undefined && this.#dueAt > ctx.now) {
      ctx.wakeAt(this.#dueAt);
    }
  }

  #appendBatch(board: Blackboard, ctx: StepContext, stopping: boolean): void {
    const entries = this.#queue.splice(0, MAX_BATCH_ENTRIES);
    const hasMore = this.#queue.length > 0;
    this.#closed = stopping && !hasMore;
    this.#dueAt = hasMore ? ctx.now : undefined;
    const id = ctx.random.uuid(ctx.now) as RecordId;
    const batch = createAuditBatch(id, {
      daemon: board.self.id,
      seq: this.#seq,
      previous: this.#previousHash,
      lost: hasMore ? 0 : this.#lostCount,
      closed: this.#closed,
      entries,
    });
    if (!hasMore) this.#lostCount = 0;
    this.#seq += 1;
    this.#previousHash = batch.hash;
    this.#outbox.add({ id, body: JSON.stringify(batch) }, ctx.now);
  }
}

function toEntry(end: RequestEnd, now: Timestamp): AuditEntry {
  const { entry, result } = end;
  const { req, ranUnder, weights } = entry;
  return {
    request: req.id,
    team: req.team,
    class: req.classId,
    asked: req.digest,
    answered: result.answerDigest,
    revision: ranUnder.revision,
    ...weights,
    service: req.kind === "call" ? req.service : undefined,
    end: result.end,
    verdict: result.verdict,
    attempts: entry.attempts,
    tokens: result.tokens ?? entry.tokens,
    arrivedAt: req.arrivedAt,
    endedAt: now,
  };
}
