import type { UpstreamId } from "../../core/id.ts";
import { type Millis, SECOND_MS, type Timestamp } from "../../core/time.ts";
import type { JobId } from "../../scheduling/pool/pool_job.ts";
import type { ContentReport } from "./content_report.ts";
import type { ContentRecord } from "./content_record.ts";
import {
  type ContentChange,
  type ContentDecision,
  ContentTable,
} from "./content_table.ts";
import { PendingLosses } from "./pending_losses.ts";

/** How a crash was confirmed. */
export type CrashEvidence = "register" | "unreachable" | "restarted";

/** How long a success speaks for a content that was running where something crashed. */
const ANSWERED_MS: Millis = 60 * SECOND_MS;
/** Answered contents that are remembered; more than are running at a time. */
const MAX_ANSWERED = 4_096;

/** What has changed about a content. */
export type ContentUpdate = Readonly<{
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
  get mark(): string {
    return this.#contents.mark;
  }

  /** What others should know. */
  records(now: Timestamp): readonly ContentRecord[] {
    return this.#contents.records(now);
  }

  /** Takes over what another daemon, or the store, knows; returns what was new here. */
  merge(
    records: readonly ContentRecord[],
    now: Timestamp,
  ): readonly ContentChange[] {
    return this.#contents.merge(records, now);
  }

  /** Takes over what the store kept; how long ago that was is not known, so that it says nothing of known contents. */
  restore(
    records: readonly ContentRecord[],
    now: Timestamp,
  ): readonly ContentChange[] {
    const unknown = records.filter(({ digest }) => !this.#contents.has(digest));
    return this.#contents.merge(unknown, now);
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
  ): readonly ContentUpdate[] {
    const { digest, outcome } = report;
    switch (outcome) {
      case "disconnected":
      case "silent":
        return this.#lost(report, attempt, now);
      case "answered":
        return this.#answered(digest, now);
      case "not_run":
        this.notRun(digest, attempt.job);
        return [];
    }
  }

  /** Takes a trial back that did not run. */
  notRun(digest: string, job: JobId): void {
    this.#contents.notRun(digest, job);
  }

  /** Notes that an upstream's process is gone. */
  upstreamGone(
    upstream: UpstreamId,
    evidence: CrashEvidence,
    now: Timestamp,
  ): readonly ContentUpdate[] {
    if (evidence === "register") this.#losses.gone(upstream, now);
    // One crash counts once for a content, however many requests with it were running.
    const lost = [...this.#losses.take(upstream, now)];
    return lost.map(([digest, { startedAt, at }]) => {
      const found = { digest, upstream, evidence, lostMsAgo: now - at };
      const answeredAt = this.#answeredAt.get(digest) ?? -Infinity;
      // Popular content runs wherever another one crashes something.
      if (now - answeredAt <= ANSWERED_MS) {
        return { kind: "spared", crashes: this.crashes(digest), ...found };
      }
      const process = `${upstream}/${startedAt}`;
      const crashes = this.#contents.crashed(digest, process, now);
      return { kind: "suspected", crashes, ...found };
    });
  }

  #lost(
    { digest, outcome }: ContentReport,
    { upstream, startedAt }: ContentAttempt,
    at: Timestamp,
  ): readonly ContentUpdate[] {
    const disconnected = outcome === "disconnected";
    const loss = { at, startedAt, disconnected };
    const isGone = this.#losses.add(digest, upstream, loss);
    return isGone ? this.upstreamGone(upstream, "register", at) : [];
  }

  #answered(digest: string, now: Timestamp): readonly ContentUpdate[] {
    this.#losses.clear(digest);
    this.#answeredAt.delete(digest);
    this.#answeredAt.set(digest, now);
    if (this.#answeredAt.size > MAX_ANSWERED) {
      const [oldest] = this.#answeredAt.keys();
      this.#answeredAt.delete(oldest!);
    }
    const crashes = this.#contents.clear(digest, now);
    return crashes === 0 ? [] : [{ kind: "cleared", digest, crashes }];
  }
}
