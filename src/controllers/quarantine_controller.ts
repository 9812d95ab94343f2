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
import type { Envelope, Suspect as SuspectNews } from "../gen/peer.ts";
import { CRASHES_TO_QUARANTINE } from "./crash_bound.ts";
import { knownRun } from "./known_run.ts";
import { mayRunOnSilentEngine } from "./retry_decision.ts";

/** Time for which an engine must answer again before its silence counts as harmless; crashes come sooner. */
const SETTLE_MS: Millis = SECOND_MS;
const MAX_SILENCES = 1_024;
const SUSPECT_MS: Millis = 10 * MINUTE_MS;
const QUARANTINE_MS: Millis = HOUR_MS;
const MAX_SUSPECTS = 1_024;
const MAX_QUARANTINED = 1_024;

type Crash = Readonly<
  { digest: Digest; upstream: UpstreamId; incarnation: string }
>;

/** Keeps content that ran on crashed engines; what has crashed two of them is refused everywhere. */
export class QuarantineController extends Controller {
  override readonly name = "quarantine";

  static create(): QuarantineController {
    return new QuarantineController();
  }

  override step(board: Blackboard, ctx: StepContext): void {
    for (const event of ctx.events) this.#take(board, ctx, event);
    this.#settleSilences(board, ctx);
    this.#forget(board, ctx.now);
  }

  #take(board: Blackboard, ctx: StepContext, event: Event): void {
    if (event.type === "attempt_ended") {
      return this.#takeOutcome(board, ctx, event);
    }
    if (event.type !== "peer_message") return;
    for (const update of suspectNews(event.envelope)) {
      const crash = {
        digest: update.digest as Digest,
        upstream: update.upstream as UpstreamId,
        incarnation: update.incarnation,
      };
      if (update.silent) {
        this.#fellSilent(board, crash, {
          observedHere: false,
          silentSince: ctx.now,
        });
      } else this.#suspect(board, ctx, crash);
    }
  }

  #takeOutcome(
    board: Blackboard,
    ctx: StepContext,
    event: Extract<Event, { type: "attempt_ended" }>,
  ): void {
    const entry = board.requests.byId.get(event.req);
    if (entry?.attempt?.id !== event.attempt) return;
    if (event.outcome.type === "ok") {
      return this.#clear(board, entry.req.digest);
    }
    if (mayRunOnSilentEngine(entry, event.outcome, { board })) {
      const { upstream } = entry.attempt.placement;
      const incarnation = knownRun(board, upstream);
      const { digest } = entry.req;
      return this.#fellSilent(board, { digest, upstream, incarnation }, {
        observedHere: true,
        silentSince: ctx.now,
      });
    }
    if (!event.outcome.crashed && !hasLostAnswer(entry, event.outcome)) return;
    board.quarantine.crashesSeen += 1;
    ctx.counters.add("upstreams_crashed");
    ctx.repeat();
    const upstream = event.outcome.upstream ?? entry.attempt.placement.upstream;
    this.#suspect(board, ctx, {
      digest: entry.req.digest,
      upstream,
      incarnation: crashedRun(board, entry, upstream),
    });
  }

  #suspect(board: Blackboard, ctx: StepContext, crash: Crash): void {
    const { suspects, quarantined } = board.quarantine;
    const known = suspects.get(crash.digest);
    const name = `${crash.upstream}/${crash.incarnation}`;
    if (known?.crashes.includes(name)) return;
    const suspect: Suspect = {
      crashes: [...known?.crashes ?? [], name],
      upstreams: [...known?.upstreams ?? [], crash.upstream],
      seenAt: ctx.now,
    };
    suspects.delete(crash.digest);
    suspects.set(crash.digest, suspect);
    dropOldest(suspects, MAX_SUSPECTS);
    if (suspect.crashes.length < CRASHES_TO_QUARANTINE) return;
    if (!quarantined.has(crash.digest)) {
      ctx.counters.add("requests_quarantined");
    }
    quarantined.set(crash.digest, ctx.now);
    dropOldest(quarantined, MAX_QUARANTINED);
  }

  #fellSilent(
    board: Blackboard,
    run: Crash,
    options: Pick<SilentRun, "observedHere" | "silentSince">,
  ): void {
    const { silentRuns: silences } = board.quarantine;
    const known = silences.get(run.digest) ?? [];
    if (known.some((one) => one.upstream === run.upstream)) return;
    const silence = {
      upstream: run.upstream,
      incarnation: run.incarnation as Incarnation,
      ...options,
    };
    silences.set(run.digest, [...known, silence]);
    dropOldest(silences, MAX_SILENCES);
  }

  /** An engine that comes back as another run, or not at all, has probably crashed; one that answers again has not. */
  #settleSilences(board: Blackboard, ctx: StepContext): void {
    const { silentRuns: silences } = board.quarantine;
    for (const [digest, known] of silences) {
      const open: SilentRun[] = [];
      for (const silence of known) {
        const { upstream, incarnation } = silence;
        const now = board.upstreams.byId.get(upstream);
        if (now?.incarnation !== incarnation) {
          this.#suspect(board, ctx, { digest, upstream, incarnation });
          ctx.repeat();
          continue;
        }
        const answersAt = now.lastResponseAt ?? silence.silentSince;
        const isBack = answersAt > silence.silentSince;
        const heardAt = silence.respondingSince ??
          (isBack ? answersAt : undefined);
        if (heardAt === undefined) open.push(silence);
        else if (answersAt < addMs(heardAt, SETTLE_MS)) {
          open.push({ ...silence, respondingSince: heardAt });
        }
      }
      if (open.length === 0) silences.delete(digest);
      else silences.set(digest, open);
    }
  }

  /** Content that has run to its end is innocent of the crash. */
  #clear(board: Blackboard, digest: Digest): void {
    board.quarantine.silentRuns.delete(digest);
    if (board.quarantine.quarantined.has(digest)) return;
    board.quarantine.suspects.delete(digest);
  }

  #forget(board: Blackboard, now: Timestamp): void {
    const { suspects, quarantined, silentRuns: silences } = board.quarantine;
    for (const [digest, suspect] of suspects) {
      if (now - suspect.seenAt > SUSPECT_MS) suspects.delete(digest);
    }
    for (const [digest, at] of quarantined) {
      if (isOver(at, now)) quarantined.delete(digest);
    }
    for (const [digest, open] of silences) {
      const left = open.filter(({ silentSince: silentAt }) =>
        now - silentAt <= SUSPECT_MS
      );
      if (left.length === 0) silences.delete(digest);
      else if (left.length < open.length) silences.set(digest, left);
    }
  }
}

/** Names the run that crashed; one that was known to be over has been followed by a run not heard of yet. */
function crashedRun(
  board: Blackboard,
  entry: RequestEntry,
  upstream: UpstreamId,
): string {
  const incarnation = knownRun(board, upstream);
  const known = board.quarantine.suspects.get(entry.req.digest);
  const startedAt = entry.attempt?.startedAt ?? 0;
  const isKnown = known?.crashes.includes(`${upstream}/${incarnation}`);
  if (!isKnown || startedAt <= known!.seenAt) return incarnation;
  return `${incarnation}@${startedAt}`;
}

/** The engine went silent and no longer has what it ran, so it has probably crashed in between. */
function hasLostAnswer(
  entry: RequestEntry,
  outcome: Extract<Outcome, { type: "failed" }>,
): boolean {
  const { cause } = outcome;
  return entry.reattached === true &&
    (cause === "connect_failed" || cause === "resume_failed");
}

function suspectNews(envelope: Envelope): readonly SuspectNews[] {
  const { body } = envelope;
  if (body?.$case === "heartbeat") return body.value.suspects;
  if (body?.$case !== "placeUpdate") return [];
  return body.value.suspect === undefined ? [] : [body.value.suspect];
}

function isOver(at: Timestamp, now: Timestamp): boolean {
  return now - at > QUARANTINE_MS;
}

function dropOldest<Value>(map: Map<Digest, Value>, limit: number): void {
  const oldest = map.keys().next().value;
  if (map.size > limit && oldest !== undefined) map.delete(oldest);
}
