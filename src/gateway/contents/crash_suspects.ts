import type { UpstreamId } from "../../core/id.ts";
import { type Millis, SECOND_MS, type Timestamp } from "../../core/time.ts";
import type { JobId } from "../../scheduling/pool/pool_job.ts";
import type { ContentReport } from "./content_report.ts";
import type { ContentRecord } from "./content_record.ts";
import {
  type ContentDecision,
  ContentTable,
  type MergedContent,
} from "./content_table.ts";
import { PendingLosses } from "./pending_losses.ts";

/** How a crash was confirmed. */
export type CrashEvidence = "register" | "unreachable" | "restarted";

/** How long a success speaks for a content that was running where something crashed. */
const SUCCESS_WINDOW_MS: Millis = 60 * SECOND_MS;
/** Answered contents that are remembered; more than are running at a time. */
const MAX_ANSWERED_CONTENTS = 4_096;

/** What has changed about a content. */
export type SuspicionUpdate = Readonly<{
  kind: "suspected" | "spared" | "cleared";
  digest: string;
  /** Confirmed crashes, before the change where it was cleared. */
  crashes: number;
  upstream?: UpstreamId;
  evidence?: CrashEvidence;
  /** Time from the loss of the upstream to its confirmation. */
  lostMsAgo?: Millis;
}>;

/** One attempt with some content, and the upstream that it was sent to. */
export type ContentAttempt = Readonly<{
  job: JobId;
  upstream: UpstreamId;
  /** Unix time in ms of the start of the upstream's process; 0 where it is not listed. */
  startedAt: number;
}>;

/**
 * Tells content that crashes the upstreams that run it. A lost upstream alone proves nothing: a crash counts only
 * once the upstream's process is seen to be gone (by the register, by a refused connection, or by its own report), and
 * a success clears the content and speaks for it for a while.
 */
export class CrashSuspects {
  readonly #losses = PendingLosses.create();
  readonly #contents = ContentTable.create();
  /** Contents that were answered of late, the latest last. */
  readonly #answeredAt = new Map<string, Timestamp>();

  static create(): CrashSuspects {
    return new CrashSuspects();
  }

  /** Contents that have crashed an upstream. */
  get size(): number {
    return this.#contents.size;
  }

  /** Confirmed crashes of a content. */
  crashes(digest: string): number {
    return this.#contents.crashes(digest);
  }

  /** Whether a request with some content may be placed. */
  decide(
    digest: string,
    now: Timestamp,
    options: Parameters<ContentTable["decide"]>[2],
  ): ContentDecision {
    return this.#contents.decide(digest, now, options);
  }

  /** Changes with what is known of quarantined contents; empty where none is. */
  get quarantineSummary(): string {
    return this.#contents.quarantineSummary;
  }

  /** What others should know. */
  records(now: Timestamp): readonly ContentRecord[] {
    return this.#contents.records(now);
  }

  /** Takes over what another daemon, or the store, knows; returns what was new here. */
  merge(
    records: readonly ContentRecord[],
    now: Timestamp,
  ): readonly MergedContent[] {
    return this.#contents.merge(records, now);
  }

  /** Takes over what the store kept; how long ago that was is not known, so that it says nothing of known contents. */
  restore(
    records: readonly ContentRecord[],
    now: Timestamp,
  ): readonly MergedContent[] {
    const newRecords = records.filter(({ digest }) =>
      !this.#contents.has(digest)
    );
    return this.#contents.merge(newRecords, now);
  }

  /** Drops what is too old. */
  expire(now: Timestamp): void {
    this.#contents.expire(now);
  }

  /** Applies how an upstream fared with some content. */
  report(
    report: ContentReport,
    attempt: ContentAttempt,
    now: Timestamp,
  ): readonly SuspicionUpdate[] {
    const { digest, outcome } = report;
    switch (outcome) {
      case "disconnected":
      case "silent":
        return this.#recordLoss(report, attempt, now);
      case "answered":
        return this.#recordSuccess(digest, now);
      case "not_run":
        this.cancelTrial(digest, attempt.job);
        return [];
    }
  }

  /** Takes a trial back that did not run. */
  cancelTrial(digest: string, job: JobId): void {
    this.#contents.cancelTrial(digest, job);
  }

  /** Notes that an upstream's process is gone. */
  processEnded(
    upstream: UpstreamId,
    evidence: CrashEvidence,
    now: Timestamp,
  ): readonly SuspicionUpdate[] {
    if (evidence === "register") this.#losses.processEnded(upstream, now);
    // One crash counts once for a content, however many requests with it were running.
    const losses = [...this.#losses.takeLosses(upstream, now)];
    return losses.map(([digest, { startedAt, at }]) => {
      const details = { digest, upstream, evidence, lostMsAgo: now - at };
      const answeredAt = this.#answeredAt.get(digest) ?? -Infinity;
      // Popular content runs wherever another one crashes something.
      if (now - answeredAt <= SUCCESS_WINDOW_MS) {
        return { kind: "spared", crashes: this.crashes(digest), ...details };
      }
      const process = `${upstream}/${startedAt}`;
      const crashes = this.#contents.recordCrash(digest, process, now);
      return { kind: "suspected", crashes, ...details };
    });
  }

  #recordLoss(
    { digest, outcome }: ContentReport,
    { upstream, startedAt }: ContentAttempt,
    at: Timestamp,
  ): readonly SuspicionUpdate[] {
    const disconnected = outcome === "disconnected";
    const loss = { at, startedAt, disconnected };
    const hasEnded = this.#losses.add(digest, upstream, loss);
    return hasEnded ? this.processEnded(upstream, "register", at) : [];
  }

  #recordSuccess(digest: string, now: Timestamp): readonly SuspicionUpdate[] {
    this.#losses.clear(digest);
    this.#answeredAt.delete(digest);
    this.#answeredAt.set(digest, now);
    if (this.#answeredAt.size > MAX_ANSWERED_CONTENTS) {
      const [oldestDigest] = this.#answeredAt.keys();
      this.#answeredAt.delete(oldestDigest!);
    }
    const crashes = this.#contents.clear(digest, now);
    return crashes === 0 ? [] : [{ kind: "cleared", digest, crashes }];
  }
}
