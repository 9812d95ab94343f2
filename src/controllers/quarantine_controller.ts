import type { Blackboard } from "../board/blackboard.ts";
import type { Suspect } from "../board/quarantine_section.ts";
import { Controller } from "../core/controller.ts";
import type { Event } from "../core/event.ts";
import type { Digest } from "../core/id.ts";
import type { Request } from "../core/request.ts";
import type { StepContext } from "../core/step_context.ts";
import { addMs, type Timestamp } from "../core/time.ts";
import { partOn } from "../scheduling/job.ts";
import {
  type ContentRun,
  lacksResponse,
  lostResponse,
  reportedRuns,
} from "./content_run.ts";
import {
  clearContent,
  QUARANTINE_MS,
  suspectRetentionMs,
} from "./crash_limit.ts";
import { crashedProcess, isKnownCrash } from "./crash_process.ts";
import { CrashJudge } from "./crash_verdict.ts";
import { incarnationOf } from "./incarnation_of.ts";
import { evictOldest } from "../core/evict_oldest.ts";
import { blocksOf } from "./place_ask.ts";
import { mayRunOnSilentEngine } from "./retry_decision.ts";
import {
  expireSilences,
  recordSilence,
  takeSilentCrashes,
} from "./silent_runs.ts";

const MAX_SUSPECTS = 1_024;
const MAX_QUARANTINED = 1_024;
/** Crashed engines whose contents are kept. */
const MAX_PROCESSES = 1_024;

/** Tracks content that ran on engines when they crashed, and quarantines content that has crashed two engines. */
export class QuarantineController extends Controller {
  override readonly name = "quarantine";
  /** Whether a crash was recorded since the contents were judged. */
  #hasEvidence = false;
  /** Contents that others may clear or convict. */
  readonly #open = new Set<Digest>();

  static create(): QuarantineController {
    return new QuarantineController();
  }

  override step(board: Blackboard, ctx: StepContext): void {
    for (const event of ctx.events) this.#onEvent(board, ctx, event);
    for (const run of takeSilentCrashes(board)) {
      this.#recordCrash(board, ctx, run);
      ctx.repeat();
    }
    this.#judgeContents(board, ctx);
    this.#removeExpired(board, ctx.now);
  }

  #onEvent(board: Blackboard, ctx: StepContext, event: Event): void {
    if (event.type === "attempt_ended") {
      return this.#onAttemptEnd(board, ctx, event);
    }
    if (event.type !== "peer_message") return;
    for (const { run, silent } of reportedRuns(event.envelope, ctx.now)) {
      if (silent) {
        recordSilence(board, run, {
          observedHere: false,
          silentSince: ctx.now,
        });
      } else {
        const told = event.envelope.body?.$case === "heartbeat";
        this.#recordCrash(board, ctx, run, told);
      }
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
      return recordSilence(board, run, {
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
      incarnation: incarnationOf(board, upstream),
      blocks: blocksOf(entry.req),
      sentAt: entry.attempt.startedAt,
    });
  }

  /** Records a crash; `told` by a daemon that also tells of the others aboard. */
  #recordCrash(
    board: Blackboard,
    ctx: StepContext,
    crash: ContentRun,
    told = false,
  ): void {
    const { suspects, answered } = board.quarantine;
    const { digest, upstream } = crash;
    const seenAt = crash.seenAt ?? ctx.now;
    if (seenAt <= (answered.lastAt(digest) ?? -Infinity)) return;
    this.#addBlocks(board, ctx, crash);
    const known = suspects.get(digest);
    const process = crashedProcess(board, crash);
    if (known !== undefined && isKnownCrash(known.crashes, process, crash)) {
      return;
    }
    this.#noteAboard(board, process, { ...crash, seenAt }, told);
    if (this.#isSpared(board, ctx.now, crash)) {
      const fields = { content: digest, process };
      return logContent(ctx, "content spared, as it was answered", fields);
    }
    const suspect: Suspect = {
      crashes: [...known?.crashes ?? [], process],
      upstreams: [...known?.upstreams ?? [], upstream],
      blocks: known?.blocks ?? crash.blocks,
      seenAt: latest(known?.seenAt, seenAt),
    };
    suspects.delete(digest);
    suspects.set(digest, suspect);
    evictOldest(suspects, MAX_SUSPECTS);
    this.#hasEvidence = true;
    this.#blameBlocks(board, ctx, { ...crash, ...suspect, process });
  }

  /** Whether a content was answered not long ago, and has not crashed again since its first crash after that. */
  #isSpared(board: Blackboard, now: Timestamp, crash: ContentRun): boolean {
    const { answered } = board.quarantine;
    if (!answered.has(crash.digest, now)) return false;
    // An attempt that was sent in the step of a crash was sent after it.
    const sentAt = addMs(crash.sentAt ?? (-Infinity as Timestamp), 1);
    return !answered.revoke(crash.digest, now, { sentAt });
  }

  /** Keeps what ran on a crashed engine, as far as this daemon placed it. */
  #noteAboard(
    board: Blackboard,
    process: string,
    crash: Pick<ContentRun, "digest" | "upstream"> & { seenAt: Timestamp },
    told: boolean,
  ): void {
    const { aboard } = board.quarantine;
    if (aboard.has(process)) return;
    const contents = [...board.placement.jobs.values()]
      .filter((job) => partOn(job, crash.upstream) !== undefined)
      .map(({ ask: { digest, blocks } }) => ({ digest, blocks }));
    const isPlacedHere = contents.some(({ digest }) => digest === crash.digest);
    aboard.set(process, {
      at: crash.seenAt,
      contents: isPlacedHere ? contents : told ? [] : undefined,
    });
    evictOldest(aboard, MAX_PROCESSES);
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
    if (blamed.length > 0) this.#hasEvidence = true;
  }

  /** Quarantines contents that crashed two engines, and frees those whose crashes others explain. */
  #judgeContents(board: Blackboard, ctx: StepContext): void {
    if (!this.#hasEvidence && this.#open.size === 0) return;
    const { suspects, quarantined } = board.quarantine;
    this.#open.clear();
    const judge = CrashJudge.create(board, ctx.now);
    for (const [digest, { crashes, seenAt }] of suspects) {
      const verdict = judge.judgeContent(digest);
      if (verdict === "guilty" && !quarantined.has(digest)) {
        ctx.counters.add("requests_quarantined");
        quarantined.set(digest, seenAt);
        evictOldest(quarantined, MAX_QUARANTINED);
        const fields = { content: digest, crashes: crashes.length };
        logContent(ctx, "content quarantined", fields);
      } else if (verdict === "explained" && quarantined.delete(digest)) {
        const fields = { content: digest, crashes: crashes.length };
        const message = "content freed, as others explain its crashes";
        logContent(ctx, message, fields);
      } else if (verdict === "open") {
        this.#open.add(digest);
      }
    }
    this.#hasEvidence = false;
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
    clearContent(board, digest, ctx.now);
  }

  #removeExpired(board: Blackboard, now: Timestamp): void {
    const { suspects, quarantined, blocks } = board.quarantine;
    blocks.expire(now);
    for (const [digest, suspect] of suspects) {
      const retentionMs = suspectRetentionMs(suspect.crashes.length);
      if (now - suspect.seenAt > retentionMs) suspects.delete(digest);
    }
    for (const [digest, at] of quarantined) {
      if (isQuarantineExpired(at, now)) quarantined.delete(digest);
    }
    expireSilences(board, now);
  }
}

function latest(known: Timestamp | undefined, at: Timestamp): Timestamp {
  return known === undefined || known < at ? at : known;
}

function isQuarantineExpired(at: Timestamp, now: Timestamp): boolean {
  return now - at > QUARANTINE_MS;
}

function logContent(
  ctx: StepContext,
  message: string,
  fields: Readonly<Record<string, string | number>>,
): void {
  ctx.emit({ type: "log_line", level: "info", message, fields });
}
