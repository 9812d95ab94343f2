import type { Blackboard } from "../board/blackboard.ts";
import type { RequestEnd } from "../board/requests_section.ts";
import { Controller } from "../core/controller.ts";
import type { RecordId } from "../core/id.ts";
import type { StepContext } from "../core/step_context.ts";
import { addMs, type Millis, SECOND_MS, type Timestamp } from "../core/time.ts";
import { type AuditEntry, createAuditBatch } from "../fold/audit_fold.ts";
import { Outbox } from "../fold/outbox.ts";
import { RECORDS_STREAM } from "../fold/streams.ts";

/** Time for which records are gathered into one batch. */
const BATCH_MS: Millis = SECOND_MS;
const MAX_BATCH = 200;
const MAX_WAITING = 10_000;
const MAX_UNCONFIRMED = 8;

/** Keeps a record of each request that has ended, as this run's hash chain on the log. */
export class RecordController extends Controller {
  override readonly name = "records";
  readonly #outbox = Outbox.create(RECORDS_STREAM, { max: MAX_UNCONFIRMED });
  #waiting: AuditEntry[] = [];
  #lost = 0;
  #seq = 0;
  #previous = "";
  #dueAt: Timestamp | undefined;
  #closed = false;

  static create(): RecordController {
    return new RecordController();
  }

  override step(board: Blackboard, ctx: StepContext): void {
    this.#outbox.handleAnswers(ctx);
    for (const end of board.requests.ended) this.#keep(ctx, end);
    this.#batch(board, ctx);
    this.#outbox.sendDue(ctx);
    board.records.unconfirmed = this.#waiting.length + this.#outbox.size;
  }

  #keep(ctx: StepContext, end: RequestEnd): void {
    if (this.#waiting.length < MAX_WAITING) {
      this.#waiting.push(toEntry(end, ctx.now));
      this.#dueAt ??= addMs(ctx.now, BATCH_MS);
      return;
    }
    this.#lost += 1;
    ctx.counters.add("audit_records_lost");
  }

  /** The last batch of a planned stop closes the chain. */
  #batch(board: Blackboard, ctx: StepContext): void {
    const stopping = board.members.drain === "refusing" &&
      board.requests.byId.size === 0;
    while (this.#outbox.size < MAX_UNCONFIRMED) {
      const due = this.#waiting.length >= MAX_BATCH ||
        (this.#dueAt !== undefined && ctx.now >= this.#dueAt) ||
        (stopping && !this.#closed);
      if (!due) break;
      this.#append(board, ctx, stopping);
    }
    if (this.#dueAt !== undefined && this.#dueAt > ctx.now) {
      ctx.wakeAt(this.#dueAt);
    }
  }

  #append(board: Blackboard, ctx: StepContext, stopping: boolean): void {
    const entries = this.#waiting.splice(0, MAX_BATCH);
    const left = this.#waiting.length > 0;
    this.#closed = stopping && !left;
    this.#dueAt = left ? ctx.now : undefined;
    const id = ctx.random.uuid(ctx.now) as RecordId;
    const batch = createAuditBatch(id, {
      daemon: board.self.id,
      seq: this.#seq,
      previous: this.#previous,
      lost: left ? 0 : this.#lost,
      closed: this.#closed,
      entries,
    });
    if (!left) this.#lost = 0;
    this.#seq += 1;
    this.#previous = batch.hash;
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
