import type { Blackboard } from "../board/blackboard.ts";
import type { SilentRun, Suspect } from "../board/quarantine_section.ts";
import type { RequestEntry } from "../board/requests_section.ts";
import { Controller } from "../core/controller.ts";
import type { Event } from "../core/event.ts";
import type { Digest, Incarnation, UpstreamId } from "../core/id.ts";
import type { Outcome } from "../core/request.ts";
import type { StepContext } from "../core/step_context.ts";
import {
  addMs,
  HOUR_MS,
  type Millis,
  MINUTE_MS,
  SECOND_MS,
  type Timestamp,
} from "../core/time.ts";
import type { Envelope, Suspect as SuspectUpdate } from "../gen/peer.ts";
import { CRASHES_TO_QUARANTINE } from "./crash_limit.ts";
import { incarnationOf } from "./incarnation_of.ts";
import { mayRunOnSilentEngine } from "./retry_decision.ts";

/** Time over which an engine must respond again before its silence counts as harmless; a crash shows sooner. */
const RECOVERY_CONFIRM_MS: Millis = SECOND_MS;
const MAX_SILENT_RUNS = 1_024;
const SUSPECT_RETENTION_MS: Millis = 10 * MINUTE_MS;
const QUARANTINE_MS: Millis = HOUR_MS;
const MAX_SUSPECTS = 1_024;
const MAX_QUARANTINED = 1_024;

/** Content that an engine ran when it crashed or fell silent. */
type ContentRun = Readonly<
  { digest: Digest; upstream: UpstreamId; incarnation: string }
>;

/** Tracks content that ran on engines when they crashed, and quarantines content that has crashed two engines. */
export class QuarantineController extends Controller {
  override readonly name = "quarantine";

  static create(): QuarantineController {
    return new QuarantineController();
  }

  override step(board: Blackboard, ctx: StepContext): void {
    for (const event of ctx.events) this.#onEvent(board, ctx, event);
    this.#resolveSilences(board, ctx);
    this.#removeExpired(board, ctx.now);
  }

  #onEvent(board: Blackboard, ctx: StepContext, event: Event): void {
    if (event.type === "attempt_ended") {
      return this.#onAttemptEnd(board, ctx, event);
    }
    if (event.type !== "peer_message") return;
    for (const update of suspectUpdates(event.envelope)) {
      const crash = {
        digest: update.digest as Digest,
        upstream: update.upstream as UpstreamId,
        incarnation: update.incarnation,
      };
      if (update.silent) {
        this.#recordSilence(board, crash, {
          observedHere: false,
          silentSince: ctx.now,
        });
      } else this.#recordCrash(board, ctx, crash);
    }
  }

  #onAttemptEnd(
    board: Blackboard,
    ctx: StepContext,
    event: Extract<Event, { type: "attempt_ended" }>,
  ): void {
    const entry = board.requests.byId.get(event.req);
    if (entry?.attempt?.id !== event.attempt) return;
    if (event.outcome.type === "ok") {
      return this.#clearSuspicion(board, entry.req.digest);
    }
    if (mayRunOnSilentEngine(entry, event.outcome, { board })) {
      const { upstream } = entry.attempt.placement;
      const incarnation = incarnationOf(board, upstream);
      const { digest } = entry.req;
      return this.#recordSilence(board, { digest, upstream, incarnation }, {
        observedHere: true,
        silentSince: ctx.now,
      });
    }
    if (!event.outcome.crashed && !lostResponse(entry, event.outcome)) return;
    board.quarantine.crashesSeen += 1;
    ctx.counters.add("upstreams_crashed");
    ctx.repeat();
    const upstream = event.outcome.upstream ?? entry.attempt.placement.upstream;
    this.#recordCrash(board, ctx, {
      digest: entry.req.digest,
      upstream,
      incarnation: crashedIncarnation(board, entry, upstream),
    });
  }

  #recordCrash(board: Blackboard, ctx: StepContext, crash: ContentRun): void {
    const { suspects, quarantined } = board.quarantine;
    const known = suspects.get(crash.digest);
    const crashKey = `${crash.upstream}/${crash.incarnation}`;
    if (known?.crashes.includes(crashKey)) return;
    const suspect: Suspect = {
      crashes: [...known?.crashes ?? [], crashKey],
      upstreams: [...known?.upstreams ?? [], crash.upstream],
      seenAt: ctx.now,
    };
    suspects.delete(crash.digest);
    suspects.set(crash.digest, suspect);
    evictOldest(suspects, MAX_SUSPECTS);
    if (suspect.crashes.length < CRASHES_TO_QUARANTINE) return;
    if (!quarantined.has(crash.digest)) {
      ctx.counters.add("requests_quarantined");
    }
    quarantined.set(crash.digest, ctx.now);
    evictOldest(quarantined, MAX_QUARANTINED);
  }

  #recordSilence(
    board: Blackboard,
    run: ContentRun,
    options: Pick<SilentRun, "observedHere" | "silentSince">,
  ): void {
    const { silentRuns } = board.quarantine;
    const known = silentRuns.get(run.digest) ?? [];
    if (known.some((silentRun) => silentRun.upstream === run.upstream)) return;
    const silentRun = {
      upstream: run.upstream,
      incarnation: run.incarnation as Incarnation,
      ...options,
    };
    silentRuns.set(run.digest, [...known, silentRun]);
    evictOldest(silentRuns, MAX_SILENT_RUNS);
  }

  /** A changed or missing incarnation means that the silent engine has probably crashed; an engine that responds again under the same incarnation has not. */
  #resolveSilences(board: Blackboard, ctx: StepContext): void {
    const { silentRuns } = board.quarantine;
    for (const [digest, known] of silentRuns) {
      const unresolved: SilentRun[] = [];
      for (const silentRun of known) {
        const { upstream, incarnation } = silentRun;
        const current = board.upstreams.byId.get(upstream);
        if (current?.incarnation !== incarnation) {
          this.#recordCrash(board, ctx, { digest, upstream, incarnation });
          ctx.repeat();
          continue;
        }
        const lastResponseAt = current.lastResponseAt ?? silentRun.silentSince;
        const hasResponded = lastResponseAt > silentRun.silentSince;
        const respondingSince = silentRun.respondingSince ??
          (hasResponded ? lastResponseAt : undefined);
        if (respondingSince === undefined) unresolved.push(silentRun);
        else if (lastResponseAt < addMs(respondingSince, RECOVERY_CONFIRM_MS)) {
          unresolved.push({ ...silentRun, respondingSince });
        }
      }
      if (unresolved.length === 0) silentRuns.delete(digest);
      else silentRuns.set(digest, unresolved);
    }
  }

  /** Clears content that has run to completion: it did not cause the crash. */
  #clearSuspicion(board: Blackboard, digest: Digest): void {
    board.quarantine.silentRuns.delete(digest);
    if (board.quarantine.quarantined.has(digest)) return;
    board.quarantine.suspects.delete(digest);
  }

  #removeExpired(board: Blackboard, now: Timestamp): void {
    const { suspects, quarantined, silentRuns } = board.quarantine;
    for (const [digest, suspect] of suspects) {
      if (now - suspect.seenAt > SUSPECT_RETENTION_MS) suspects.delete(digest);
    }
    for (const [digest, at] of quarantined) {
      if (isQuarantineExpired(at, now)) quarantined.delete(digest);
    }
    for (const [digest, runs] of silentRuns) {
      const kept = runs.filter(({ silentSince }) =>
        now - silentSince <= SUSPECT_RETENTION_MS
      );
      if (kept.length === 0) silentRuns.delete(digest);
      else if (kept.length < runs.length) silentRuns.set(digest, kept);
    }
  }
}

/** Returns the incarnation that crashed. If the known incarnation had crashed before the attempt started, the attempt ran on a later one, named by the attempt's start. */
function crashedIncarnation(
  board: Blackboard,
  entry: RequestEntry,
  upstream: UpstreamId,
): string {
  const incarnation = incarnationOf(board, upstream);
  const known = board.quarantine.suspects.get(entry.req.digest);
  const startedAt = entry.attempt?.startedAt ?? 0;
  const isKnown = known?.crashes.includes(`${upstream}/${incarnation}`);
  if (!isKnown || startedAt <= known!.seenAt) return incarnation;
  return `${incarnation}@${startedAt}`;
}

/** Whether a silent engine no longer has the response of its attempt; it has probably crashed in between. */
function lostResponse(
  entry: RequestEntry,
  outcome: Extract<Outcome, { type: "failed" }>,
): boolean {
  const { cause } = outcome;
  return entry.reattached === true &&
    (cause === "connect_failed" || cause === "resume_failed");
}

function suspectUpdates(envelope: Envelope): readonly SuspectUpdate[] {
  const { body } = envelope;
  if (body?.$case === "heartbeat") return body.value.suspects;
  if (body?.$case !== "placeUpdate") return [];
  return body.value.suspect === undefined ? [] : [body.value.suspect];
}

function isQuarantineExpired(at: Timestamp, now: Timestamp): boolean {
  return now - at > QUARANTINE_MS;
}

function evictOldest<Value>(map: Map<Digest, Value>, limit: number): void {
  const oldest = map.keys().next().value;
  if (map.size > limit && oldest !== undefined) map.delete(oldest);
}
