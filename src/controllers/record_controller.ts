import type { Blackboard } from "../board/blackboard.ts";
import type { RequestEnd } from "../board/requests_section.ts";
import { Controller } from "../core/controller.ts";
import type { RecordId } from "../core/id.ts";
import type { Request } from "../core/request.ts";
import type { StepContext } from "../core/step_context.ts";
import { addMs, type Millis, SECOND_MS, type Timestamp } from "../core/time.ts";
import { Outbox } from "../fold/outbox.ts";
import { type ChainEnd, sealBatch } from "../fold/record_chain.ts";
import { RECORDS_STREAM } from "../fold/streams.ts";
import type { RequestRecord } from "../wire/record.ts";

/** Time for which records are gathered into one batch. */
const BATCH_MS: Millis = SECOND_MS;
const MAX_BATCH = 500;
const MAX_WAITING = 10_000;
/** One at a time, so that the batches lie on the stream in the order of the chain. */
const MAX_UNCONFIRMED = 1;

/** Keeps a record of each request that has ended, as this run's hash chain on the log. */
export class RecordController extends Controller {
  override readonly name = "records";
  readonly #outbox = Outbox.create(RECORDS_STREAM, { max: MAX_UNCONFIRMED });
  #waiting: RequestRecord[] = [];
  #lost = 0;
  #end: ChainEnd | undefined;
  #dueAt: Timestamp | undefined;

  static create(): RecordController {
    return new RecordController();
  }

  override step(board: Blackboard, ctx: StepContext): void {
    this.#outbox.take(ctx);
    for (const end of board.requests.ended) this.#keep(ctx, end);
    this.#batch(board, ctx);
    this.#outbox.send(ctx);
    board.records.unsent = this.#waiting.length + this.#outbox.size;
  }

  #keep(ctx: StepContext, end: RequestEnd): void {
    if (this.#waiting.length < MAX_WAITING) {
      this.#waiting.push(toRecord(end, ctx.now));
      this.#dueAt ??= addMs(ctx.now, BATCH_MS);
      return;
    }
    this.#lost += 1;
    ctx.counters.add("audit_records_lost");
  }

  #batch(board: Blackboard, ctx: StepContext): void {
    if (this.#dueAt === undefined || this.#outbox.size > 0) return;
    const stopping = board.members.drain === "refusing";
    const full = this.#waiting.length >= MAX_BATCH;
    if (ctx.now < this.#dueAt && !full && !stopping) {
      return ctx.wakeAt(this.#dueAt);
    }
    this.#append(board, ctx);
  }

  /** Requests are lost at the end of the buffer, so the loss lies before the batch that empties it. */
  #append(board: Blackboard, ctx: StepContext): void {
    const records = this.#waiting.splice(0, MAX_BATCH);
    const isLast = this.#waiting.length === 0;
    this.#dueAt = isLast ? undefined : ctx.now;
    const id = ctx.random.uuid(ctx.now) as RecordId;
    const lost = isLast && this.#lost > 0 ? this.#lost : undefined;
    if (lost !== undefined) this.#lost = 0;
    const head = { id, daemon: board.self.id, lost };
    const batch = sealBatch(head, records, this.#end);
    this.#end = { seq: batch.seq, digest: batch.digest };
    this.#outbox.add({ id, body: JSON.stringify(batch) }, ctx.now);
  }
}

function toRecord(end: RequestEnd, now: Timestamp): RequestRecord {
  const { entry, result } = end;
  const { req, ranUnder, weights } = entry;
  return {
    request: req.id,
    team: req.team,
    class: req.classId,
    request_digest: req.digest,
    answer_digest: result.answerDigest,
    revision: ranUnder.revision,
    ...weights,
    ...callFields(req),
    result: result.end,
    verdict: result.verdict,
    attempts: entry.attempts,
    tokens: result.tokens ?? entry.tokens,
    arrived_at: req.arrivedAt,
    ended_at: now,
  };
}

function callFields(req: Request): Partial<RequestRecord> {
  if (req.kind !== "call") return {};
  const { service, method, path, key } = req;
  return { service, method, path, key };
}
