import type { Blackboard } from "../board/blackboard.ts";
import type { ClaimResult } from "../board/claims_section.ts";
import { limitsOf } from "../board/limits_in_force.ts";
import type { RequestEntry } from "../board/requests_section.ts";
import { Controller } from "../core/controller.ts";
import type { Event } from "../core/event.ts";
import type { RecordId, RequestId } from "../core/id.ts";
import { type Problem, problem } from "../core/problem.ts";
import type { CallRequest } from "../core/request.ts";
import type { StepContext } from "../core/step_context.ts";
import {
  addMs,
  type Millis,
  MINUTE_MS,
  SECOND_MS,
  type Timestamp,
} from "../core/time.ts";
import { AbandonedClaims } from "../fold/abandoned_claims.ts";
import { answerFromKnownCall, refused } from "../fold/claim_answer.ts";
import { ClaimFold, type ClaimRecord } from "../fold/claim_fold.ts";
import { checkKeyWindow, type ParsedKey } from "../fold/idempotency_key.ts";
import { IssuedCalls } from "../fold/issued_calls.ts";
import type { LogEntry } from "../fold/log_reader.ts";
import { LogTail } from "../fold/log_tail.ts";
import { Outbox } from "../fold/outbox.ts";
import { CLAIMS_STREAM } from "../fold/streams.ts";
import {
  callEnd,
  recordOutcome,
  type TrackedCall,
} from "../fold/tracked_call.ts";
import { claimsUnavailable, decideClaim } from "./claim_decision.ts";

/** Time-out for a claim to be read back from the log. */
export const CLAIM_TIMEOUT_MS: Millis = 3 * SECOND_MS;
/** Interval at which, after a failed append, one claim is appended to probe whether the log has recovered. */
const PROBE_MS: Millis = SECOND_MS;
/** Duration of failing reads after which claims are refused at once. */
const READ_OUTAGE_LIMIT_MS: Millis = SECOND_MS;
/** Time to wait for the outcome of a call after its request has ended. */
const LATE_OUTCOME_WAIT_MS: Millis = MINUTE_MS;
const CLEANUP_INTERVAL_MS: Millis = SECOND_MS;
const RETENTION_MARGIN_MS: Millis = MINUTE_MS;
const ID_RETENTION_MS: Millis = 10 * MINUTE_MS;
const MAX_IDS = 50_000;
const MAX_CLAIMS = 100_000;
const MAX_ANSWER_CHARS = 8 * 1_048_576;
const MAX_ISSUED_CALLS = 20_000;
const MAX_OUTGOING = 8_192;
const MAX_ABANDONED = 8_192;
const MAX_TRACKED = 8_192;

/** A claim record without its id. */
type ClaimDraft = ClaimRecord extends infer Variant
  ? Variant extends ClaimRecord ? Omit<Variant, "id"> : never
  : never;

/** Runs each call that may not be repeated at most once. A client's key is claimed in the log, and its call starts only after the claim has been read back. */
export class ClaimController extends Controller {
  override readonly name = "claims";
  readonly #keySecret: string;
  readonly #tail = LogTail.create(CLAIMS_STREAM, {
    idRetentionMs: ID_RETENTION_MS,
    maxIds: MAX_IDS,
  });
  readonly #fold = ClaimFold.create({
    maxClaims: MAX_CLAIMS,
    maxAnswerChars: MAX_ANSWER_CHARS,
  });
  readonly #outbox = Outbox.create(CLAIMS_STREAM, { max: MAX_OUTGOING });
  readonly #issued = IssuedCalls.create({ max: MAX_ISSUED_CALLS });
  readonly #abandoned = AbandonedClaims.create({ max: MAX_ABANDONED });
  readonly #tracked = new Map<RequestId, TrackedCall>();
  readonly #byClaim = new Map<RecordId, TrackedCall>();
  #probeAt: Timestamp | undefined;
  #nextCleanupAt = 0 as Timestamp;

  private constructor(keySecret: string) {
    super();
    this.#keySecret = keySecret;
  }

  /** `keySecret` signs the keys that this daemon issues; it never leaves the process. */
  static create(options: { keySecret: string }): ClaimController {
    return new ClaimController(options.keySecret);
  }

  override step(board: Blackboard, ctx: StepContext): void {
    board.claims.keySecret = this.#keySecret;
    this.#outbox.handleAnswers(ctx);
    for (const event of ctx.events) this.#onEvent(ctx, event);
    this.#readLog(board, ctx);
    for (const entry of board.requests.byId.values()) {
      if (entry.state === "claiming") this.#advance(board, ctx, entry);
    }
    for (const call of this.#tracked.values()) this.#finish(board, ctx, call);
    this.#removeExpired(board, ctx.now);
    this.#outbox.sendDue(ctx);
    board.claims.unconfirmed = this.#outbox.size;
  }

  #onEvent(ctx: StepContext, event: Event): void {
    if (event.type === "attempt_ended") {
      const call = this.#tracked.get(event.req);
      if (call !== undefined) recordOutcome(call, event.attempt, event.outcome);
    }
    if (event.type === "append_ended" && event.stream === CLAIMS_STREAM) {
      const failed = event.result !== "appended";
      this.#probeAt = failed ? addMs(ctx.now, PROBE_MS) : undefined;
    }
  }

  #readLog(board: Blackboard, ctx: StepContext): void {
    const { restartedAt, entries } = this.#tail.step(ctx);
    if (restartedAt !== undefined) {
      this.#fold.restart();
      board.claims.caughtUp = false;
    }
    for (const entry of entries) this.#foldEntry(board, ctx, entry);
    if (this.#tail.reader.caughtUp) board.claims.caughtUp = true;
  }

  #foldEntry(board: Blackboard, ctx: StepContext, entry: LogEntry): void {
    const record = this.#fold.foldRecord(entry);
    if (record === undefined) return;
    this.#outbox.cancel(record.id);
    if (record.type !== "claim") return;
    const call = this.#byClaim.get(record.id);
    if (call !== undefined && !call.held) {
      this.#resolveClaim(board, ctx, { call, at: entry.at });
    }
    if (this.#abandoned.has(record.id)) this.#release(ctx, record.id, record);
  }

  /** Decides by log order: the first claim of a key holds it. */
  #resolveClaim(
    board: Blackboard,
    ctx: StepContext,
    read: { call: TrackedCall; at: Timestamp },
  ): void {
    const { call } = read;
    const { req, key } = call;
    const claimed = this.#fold.activeClaim(req.team, key.key);
    if (claimed?.claim === call.claim) {
      const err = this.#recheckLimits(board, ctx.now, read);
      if (err !== undefined) {
        return this.#endUnsentCall(board, ctx, call, refused(err));
      }
      call.held = true;
      ctx.counters.add("claims_won");
      return this.#answer(board, ctx, req.id, { type: "held" });
    }
    ctx.counters.add("claims_lost");
    const { clockSkewMs } = limitsOf(board);
    const result = claimed === undefined
      ? refused(claimsUnavailable())
      : answerFromKnownCall(claimed, req.digest, { now: ctx.now, clockSkewMs });
    this.#endUnsentCall(board, ctx, call, result);
  }

  /** Checks the deadline and the key window again, the window at the later of local time and log time: the local clock may be behind. */
  #recheckLimits(
    board: Blackboard,
    now: Timestamp,
    { call, at }: { call: TrackedCall; at: Timestamp },
  ): Problem | undefined {
    if (now >= call.req.deadlineAt) {
      return problem(
        "deadline_exceeded",
        "The claim was read back after the deadline.",
      );
    }
    return checkKeyWindow(call.key, Math.max(now, at) as Timestamp, {
      limits: limitsOf(board),
      knownSince: this.#fold.knownSince,
    });
  }

  #advance(board: Blackboard, ctx: StepContext, entry: RequestEntry): void {
    const { id } = entry.req;
    if (board.claims.results.has(id)) return;
    const call = this.#tracked.get(id);
    if (call === undefined) return this.#decide(board, ctx, entry);
    const timeoutAt = addMs(call.startedAt, CLAIM_TIMEOUT_MS);
    if (ctx.now < timeoutAt) return ctx.wakeAt(timeoutAt);
    this.#endUnsentCall(board, ctx, call, refused(claimsUnavailable()));
  }

  #decide(board: Blackboard, ctx: StepContext, entry: RequestEntry): void {
    const { req } = entry;
    if (req.kind !== "call") return;
    const decision = decideClaim(req, {
      board,
      now: ctx.now,
      fold: this.#fold,
      issued: this.#issued,
      abandoned: this.#abandoned,
      keySecret: this.#keySecret,
      logDown: this.#logDown(ctx.now),
    });
    switch (decision.type) {
      case "answer":
        return this.#answer(board, ctx, req.id, decision.result);
      case "claim":
        return this.#appendClaim(board, ctx, { entry, req, key: decision.key });
      case "begin":
        return this.#startIssuedCall(board, ctx, {
          entry,
          req,
          key: decision.key,
        });
      case "wait":
        return ctx.wakeAt(addMs(ctx.now, PROBE_MS));
    }
  }

  #logDown(now: Timestamp): boolean {
    const { failingSince } = this.#tail;
    if (
      failingSince !== undefined && now - failingSince >= READ_OUTAGE_LIMIT_MS
    ) {
      return true;
    }
    return this.#probeAt !== undefined && now < this.#probeAt;
  }

  #appendClaim(
    board: Blackboard,
    ctx: StepContext,
    call: { entry: RequestEntry; req: CallRequest; key: ParsedKey },
  ): void {
    const { req, key } = call;
    if (this.#probeAt !== undefined) this.#probeAt = addMs(ctx.now, PROBE_MS);
    const claim = this.#append(ctx, {
      type: "claim",
      team: req.team,
      key: key.key,
      digest: req.digest,
      holder: board.self.id,
      request: req.id,
      deadlineAt: req.deadlineAt,
    });
    if (claim === undefined) {
      return this.#answer(board, ctx, req.id, refused(claimsUnavailable()));
    }
    const tracked = this.#track(ctx, { ...call, claim, held: false });
    this.#byClaim.set(claim, tracked);
    ctx.wakeAt(addMs(ctx.now, CLAIM_TIMEOUT_MS));
  }

  /** Only the daemon that issued a key may run it, so its own memory decides and no claim is appended. */
  #startIssuedCall(
    board: Blackboard,
    ctx: StepContext,
    call: { entry: RequestEntry; req: CallRequest; key: ParsedKey },
  ): void {
    const { req, key } = call;
    const started = this.#issued.begin(req.team, key.key, {
      digest: req.digest,
      deadlineAt: req.deadlineAt,
      issuedAt: key.issuedAt,
    });
    if (!started) {
      return this.#answer(board, ctx, req.id, refused(claimsUnavailable()));
    }
    this.#track(ctx, { ...call, claim: undefined, held: true });
    this.#answer(board, ctx, req.id, { type: "held" });
  }

  #track(
    ctx: StepContext,
    call: Pick<TrackedCall, "entry" | "req" | "key" | "claim" | "held">,
  ): TrackedCall {
    const tracked = { ...call, startedAt: ctx.now, notRun: new Set<never>() };
    this.#tracked.set(call.req.id, tracked);
    return tracked;
  }

  #untrack(call: TrackedCall): void {
    this.#tracked.delete(call.req.id);
    if (call.claim !== undefined) this.#byClaim.delete(call.claim);
  }

  #answer(
    board: Blackboard,
    ctx: StepContext,
    req: RequestId,
    result: ClaimResult,
  ): void {
    board.claims.results.set(req, result);
    ctx.repeat();
  }

  /** Ends a call that was never sent. */
  #endUnsentCall(
    board: Blackboard,
    ctx: StepContext,
    call: TrackedCall,
    result: ClaimResult,
  ): void {
    this.#abandon(ctx, call);
    this.#answer(board, ctx, call.req.id, result);
  }

  #abandon(ctx: StepContext, call: TrackedCall): void {
    const { claim, req, key } = call;
    this.#untrack(call);
    if (claim === undefined) return this.#issued.release(req.team, key.key);
    this.#outbox.cancel(claim);
    const subject = { team: req.team, key: key.key };
    this.#abandoned.add({ ...subject, claim, abandonedAt: ctx.now });
    this.#release(ctx, claim, subject);
  }

  /** Releases a key that is held by an abandoned claim of this daemon. */
  #release(
    ctx: StepContext,
    claim: RecordId,
    subject: Pick<ClaimRecord, "team" | "key">,
  ): void {
    const { team, key } = subject;
    if (this.#fold.activeClaim(team, key)?.claim !== claim) return;
    this.#append(ctx, { type: "release", team, key, claim });
    ctx.counters.add("claims_released");
  }

  /** Stops tracking a call once its request has ended and its outcome is known or overdue. */
  #finish(board: Blackboard, ctx: StepContext, call: TrackedCall): void {
    const { req } = call;
    if (board.requests.byId.get(req.id) === call.entry) return;
    if (!call.held) return this.#abandon(ctx, call);
    const end = callEnd(call);
    if (end === "not_sent") return this.#abandon(ctx, call);
    if (end === "ran") return this.#appendOutcome(board, ctx, call);
    call.requestEndedAt ??= ctx.now;
    const waitUntil = addMs(call.requestEndedAt, LATE_OUTCOME_WAIT_MS);
    if (ctx.now < waitUntil && this.#tracked.size <= MAX_TRACKED) {
      return ctx.wakeAt(waitUntil);
    }
    this.#untrack(call);
  }

  #appendOutcome(board: Blackboard, ctx: StepContext, call: TrackedCall): void {
    const { req, key, claim, outcome } = call;
    this.#untrack(call);
    if (outcome === undefined) return;
    if (claim === undefined) this.#issued.end(req.team, key.key, outcome);
    this.#append(ctx, {
      type: "outcome",
      team: req.team,
      key: key.key,
      digest: req.digest,
      holder: board.self.id,
      claim,
      ...outcome,
    });
  }

  #append(ctx: StepContext, draft: ClaimDraft): RecordId | undefined {
    const id = ctx.random.uuid(ctx.now) as RecordId;
    const body = JSON.stringify({ ...draft, id });
    if (this.#outbox.add({ id, body }, ctx.now)) return id;
    ctx.counters.add("claims_dropped");
    return undefined;
  }

  #removeExpired(board: Blackboard, now: Timestamp): void {
    for (const id of board.claims.results.keys()) {
      if (!board.requests.byId.has(id)) board.claims.results.delete(id);
    }
    if (now < this.#nextCleanupAt) return;
    this.#nextCleanupAt = addMs(now, CLEANUP_INTERVAL_MS);
    const { keyWindowMs, clockSkewMs } = limitsOf(board);
    const retentionMs = keyWindowMs + 4 * clockSkewMs + RETENTION_MARGIN_MS;
    const oldest = addMs(now, -retentionMs);
    this.#fold.deleteBefore(oldest);
    this.#abandoned.deleteBefore(oldest);
    this.#issued.deleteBefore(oldest);
  }
}
