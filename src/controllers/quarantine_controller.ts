import type { Blackboard } from "../board/blackboard.ts";
import type { SilentRun, Suspect } from "../board/quarantine_section.ts";
import { Controller } from "../core/controller.ts";
import type { Event } from "../core/event.ts";
import type { Digest, Incarnation } from "../core/id.ts";
import type { Request } from "../core/request.ts";
import type { StepContext } from "../core/step_context.ts";
import {
  addMs,
  type Millis,
  MINUTE_MS,
  SECOND_MS,
  type Timestamp,
} from "../core/time.ts";
import {
  type ContentRun,
  crashedIncarnation,
  lacksResponse,
  lostResponse,
  reportedRuns,
} from "./content_run.ts";
import {
  CRASHES_TO_QUARANTINE,
  QUARANTINE_MS,
  suspectRetentionMs,
} from "./crash_limit.ts";
import { incarnationOf } from "./incarnation_of.ts";
import { blocksOf } from "./place_ask.ts";
import { mayRunOnSilentEngine } from "./retry_decision.ts";

/** Time over which an engine must respond again before its silence counts as harmless; a crash shows sooner. */
const RECOVERY_CONFIRM_MS: Millis = SECOND_MS;
const MAX_SILENT_RUNS = 1_024;
const SILENCE_RETENTION_MS: Millis = 10 * MINUTE_MS;
const MAX_SUSPECTS = 1_024;
const MAX_QUARANTINED = 1_024;

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
    for (const { run, silent } of reportedRuns(event.envelope, ctx.now)) {
      if (silent) {
        this.#recordSilence(board, run, {
          observedHere: false,
          silentSince: ctx.now,
        });
      } else this.#recordCrash(board, ctx, run);
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
      return this.#clearSuspicion(board, ctx, entry.req);
    }
    const isOpen = mayRunOnSilentEngine(entry, event.outcome, { board }) ||
      lacksResponse(entry, event.outcome);
    if (isOpen) {
      const { upstream } = entry.attempt.placement;
      const incarnation = incarnationOf(board, upstream);
      const { digest } = entry.req;
      const blocks = blocksOf(entry.req);
      const run = { digest, upstream, incarnation, blocks };
      return this.#recordSilence(board, run, {
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
      blocks: blocksOf(entry.req),
      sentAt: entry.attempt.startedAt,
    });
  }

  #recordCrash(board: Blackboard, ctx: StepContext, crash: ContentRun): void {
    const { suspects, quarantined } = board.quarantine;
    const { digest, upstream } = crash;
    this.#addBlocks(board, ctx, crash);
    const known = suspects.get(digest);
    const process = `${upstream}/${crash.incarnation}`;
    if (known?.crashes.includes(process)) return;
    const suspect: Suspect = {
      crashes: [...known?.crashes ?? [], process],
      upstreams: [...known?.upstreams ?? [], upstream],
      blocks: known?.blocks ?? crash.blocks,
      seenAt: latest(known?.seenAt, crash.seenAt ?? ctx.now),
    };
    suspects.delete(digest);
    suspects.set(digest, suspect);
    evictOldest(suspects, MAX_SUSPECTS);
    this.#blameBlocks(board, ctx, { ...crash, ...suspect, process });
    if (suspect.crashes.length < CRASHES_TO_QUARANTINE) return;
    if (isExplained(board, suspect)) return;
    if (!quarantined.has(digest)) ctx.counters.add("requests_quarantined");
    quarantined.set(digest, suspect.seenAt);
    evictOldest(quarantined, MAX_QUARANTINED);
  }

  /** Counts the known crashes of a content against blocks that are new here, as each daemon leaves out answered ones. */
  #addBlocks(board: Blackboard, ctx: StepContext, crash: ContentRun): void {
    const { digest } = crash;
    const known = board.quarantine.suspects.get(digest);
    const blocks = crash.blocks?.filter((one) => !known?.blocks?.includes(one));
    if (known === undefined || blocks === undefined) return;
    if (blocks.length === 0) return;
    const all = [...known.blocks ?? [], ...blocks];
    board.quarantine.suspects.set(digest, { ...known, blocks: all });
    for (const process of known.crashes) {
      this.#blameBlocks(board, ctx, { digest, process, blocks });
    }
  }

  /** Counts a crash against blocks of its prompt. */
  #blameBlocks(
    board: Blackboard,
    ctx: StepContext,
    crash:
      & Pick<ContentRun, "digest" | "blocks" | "sentAt">
      & Readonly<{ process: string }>,
  ): void {
    const { digest, process, blocks = [] } = crash;
    const blamed = board.quarantine.blocks.recordCrash(blocks, crash, ctx.now);
    ctx.emit({
      type: "log_line",
      level: "warn",
      message: "content suspected of a crash",
      fields: {
        content: digest,
        process,
        blocks: blocks.length,
        blamed: blamed.length,
        ...(blamed[0] === undefined ? {} : { block: blamed[0] }),
      },
    });
    if (blamed.length > 0) this.#releaseExplained(board, ctx);
  }

  /** Frees quarantined contents that only ran beside a block that crashes engines. */
  #releaseExplained(board: Blackboard, ctx: StepContext): void {
    const { suspects, quarantined } = board.quarantine;
    for (const digest of quarantined.keys()) {
      const suspect = suspects.get(digest);
      if (suspect === undefined || !isExplained(board, suspect)) continue;
      quarantined.delete(digest);
      ctx.emit({
        type: "log_line",
        level: "info",
        message: "content freed, as a block explains its crashes",
        fields: { content: digest, crashes: suspect.crashes.length },
      });
    }
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
      blocks: run.blocks &&
        board.quarantine.blocks.unanswered(run.blocks, options.silentSince),
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
        const { upstream, incarnation, blocks } = silentRun;
        const current = board.upstreams.byId.get(upstream);
        if (current?.incarnation !== incarnation) {
          const crash = { digest, upstream, incarnation, blocks };
          this.#recordCrash(board, ctx, crash);
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

  /** Clears content that has run to completion, and its blocks: they did not cause the crash. */
  #clearSuspicion(board: Blackboard, ctx: StepContext, req: Request): void {
    const { digest } = req;
    const { blocks } = board.quarantine;
    for (const block of blocks.recordAnswer(blocksOf(req), ctx.now)) {
      ctx.emit({
        type: "log_line",
        level: "info",
        message: "block cleared by an answer",
        fields: { req: req.id, block },
      });
    }
    board.quarantine.silentRuns.delete(digest);
    if (board.quarantine.quarantined.has(digest)) return;
    board.quarantine.suspects.delete(digest);
  }

  #removeExpired(board: Blackboard, now: Timestamp): void {
    const { suspects, quarantined, silentRuns, blocks } = board.quarantine;
    blocks.expire(now);
    for (const [digest, suspect] of suspects) {
      const retentionMs = suspectRetentionMs(suspect.crashes.length);
      if (now - suspect.seenAt > retentionMs) suspects.delete(digest);
    }
    for (const [digest, at] of quarantined) {
      if (isQuarantineExpired(at, now)) quarantined.delete(digest);
    }
    for (const [digest, runs] of silentRuns) {
      const kept = runs.filter(({ silentSince }) =>
        now - silentSince <= SILENCE_RETENTION_MS
      );
      if (kept.length === 0) silentRuns.delete(digest);
      else if (kept.length < runs.length) silentRuns.set(digest, kept);
    }
  }
}

/** Whether a block of other prompts explains the crashes of a content. */
function isExplained(board: Blackboard, suspect: Suspect): boolean {
  const { crashes, blocks = [] } = suspect;
  const { quarantine } = board;
  return quarantine.blocks.explains(crashes, blocks, (block) => {
    const sharing = [...quarantine.suspects.values()]
      .filter((one) => one.blocks?.includes(block));
    return sharing.length > 1;
  });
}

function latest(known: Timestamp | undefined, at: Timestamp): Timestamp {
  return known === undefined || known < at ? at : known;
}

function isQuarantineExpired(at: Timestamp, now: Timestamp): boolean {
  return now - at > QUARANTINE_MS;
}

function evictOldest<Value>(map: Map<Digest, Value>, limit: number): void {
  const oldest = map.keys().next().value;
  if (map.size > limit && oldest !== undefined) map.delete(oldest);
}
