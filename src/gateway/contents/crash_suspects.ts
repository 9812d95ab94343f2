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

/** Time after a success in which a crash does not count against the content. */
const SUCCESS_WINDOW_MS: Millis = 60 * SECOND_MS;
/** More than run at a time. */
const MAX_ANSWERED_CONTENTS = 4_096;

/** Change of what is known about a content. */
export type SuspicionUpdate = Readonly<{
  kind: "suspected" | "spared" | "cleared";
  digest: string;
  /** Confirmed crashes; for `cleared`, the number before the change. */
  crashes: number;
  upstream?: UpstreamId;
  evidence?: CrashEvidence;
  /** Time from the loss of the upstream to the confirmation of its crash. */
  lostMsAgo?: Millis;
}>;

/** Attempt with some content, and the upstream that it was sent to. */
export type ContentAttempt = Readonly<{
  job: JobId;
  upstream: UpstreamId;
  /** Unix time in ms of the start of the upstream's process; 0 where it is not listed. */
  startedAt: number;
}>;

/**
 * Detects contents that crash the upstreams that run them. Losing contact with an upstream proves nothing: a crash
 * counts only once the end of the upstream's process is confirmed (by the register, by a refused connection, or by
 * its own report). A success clears the content, and crashes shortly after it don't count.
 */
export class CrashSuspects {
  readonly #losses = PendingLosses.create();
  readonly #contents = ContentTable.create();
  /** Contents that ran successfully not long ago, the latest last. */
  readonly #answeredAt = new Map<string, Timestamp>();

  static create(): CrashSuspects {
    return new CrashSuspects();
  }

  /** Number of contents that have crashed an upstream. */
  get size(): number {
    return this.#contents.size;
  }

  /** Number of confirmed crashes of a content. */
  crashes(digest: string): number {
    return this.#contents.crashes(digest);
  }

  /** Decides whether a request with some content may be placed. */
  decide(
    digest: string,
    now: Timestamp,
    options: Parameters<ContentTable["decide"]>[2],
  ): ContentDecision {
    return this.#contents.decide(digest, now, options);
  }

  /** Changes whenever the quarantined contents or their counts change; empty where there are none. */
  get quarantineSummary(): string {
    return this.#contents.quarantineSummary;
  }

  /** Records to send to other daemons or to the store. */
  records(now: Timestamp): readonly ContentRecord[] {
    return this.#contents.records(now);
  }

  /** Merges records of another daemon; returns those that were new here. */
  merge(
    records: readonly ContentRecord[],
    now: Timestamp,
  ): readonly MergedContent[] {
    return this.#contents.merge(records, now);
  }

  /** Merges records read from the store. Their age is not known, so records of known contents are ignored. */
  restore(
    records: readonly ContentRecord[],
    now: Timestamp,
  ): readonly MergedContent[] {
    const newRecords = records.filter(({ digest }) =>
      !this.#contents.has(digest)
    );
    return this.#contents.merge(newRecords, now);
  }

  /** Drops contents past their retention time. */
  expire(now: Timestamp): void {
    this.#contents.expire(now);
  }

  /** Applies the outcome of an attempt. */
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

  /** Gives back the trial of a request that did not run. */
  cancelTrial(digest: string, job: JobId): void {
    this.#contents.cancelTrial(digest, job);
  }

  /** Counts the confirmed end of an upstream's process against the contents that it was lost with. */
  processEnded(
    upstream: UpstreamId,
    evidence: CrashEvidence,
    now: Timestamp,
  ): readonly SuspicionUpdate[] {
    if (evidence === "register") this.#losses.processEnded(upstream, now);
    // A crash counts once for a content, however many requests with that content were running.
    const losses = [...this.#losses.takeLosses(upstream, now)];
    return losses.map(([digest, { startedAt, at }]) => {
      const details = { digest, upstream, evidence, lostMsAgo: now - at };
      const answeredAt = this.#answeredAt.get(digest) ?? -Infinity;
      // Popular content also runs on the upstreams that other contents crash.
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
