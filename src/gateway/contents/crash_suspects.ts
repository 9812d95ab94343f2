import type { UpstreamId } from "../../core/id.ts";
import { addMs, type Millis, type Timestamp } from "../../core/time.ts";
import type { JobId } from "../../scheduling/pool/pool_job.ts";
import type { ContentReport } from "./content_report.ts";
import type { ContentRecord } from "../../suspects/content_record.ts";
import {
  ContentTable,
  type MergedContent,
} from "../../suspects/content_table.ts";
import { PendingLosses, type UpstreamLoss } from "./pending_losses.ts";
import { ProbeTable } from "./probe_table.ts";
import { RecentSuccesses } from "../../suspects/recent_successes.ts";
import {
  keysOf,
  partOfKey,
  type SuspectRequest,
} from "../../suspects/suspect_key.ts";

/** How a crash was confirmed. */
export type CrashEvidence = "register" | "unreachable" | "restarted";

/** Time after the loss of an upstream until the next request with a part that alone explains it. */
const LONE_SUSPECT_DELAY_MS: Millis = 1_000;
/** Time since the first data up to which an answer counts as just begun. */
const STARTING_ANSWER_MS: Millis = 500;
/** Shortest Retry-After of a refusal; an earlier retry would mostly be refused as well. */
const MIN_RETRY_AFTER_MS: Millis = 1_000;

/** Whether a request may be placed; `retryAfterMs` is the time until the next trial. */
export type ContentDecision =
  | Readonly<{ type: "run" }>
  /** It runs although `key` is suspected (`probe`) or quarantined (`trial`). */
  | Readonly<{ type: "probe" | "trial"; key: string; crashes: number }>
  | Readonly<
    { type: "refuse"; key: string; crashes: number; retryAfterMs: Millis }
  >;

/** What speaks against a key, and how long a request with it must wait. */
type Suspicion = Readonly<
  { type: "suspected" | "quarantined"; key: string; waitMs: Millis }
>;

/** Change of what is known about a content or a part. */
export type SuspicionUpdate = Readonly<{
  kind: "suspected" | "spared" | "cleared";
  key: string;
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
 * Detects contents, and parts of prompts, that crash the upstreams that run them. Losing contact with an upstream
 * proves nothing: a crash counts only once the end of the upstream's process is confirmed (by the register, by a
 * refused connection, or by its own report). An answer clears its content and all parts of its prompt: a crash that
 * some other part explains doesn't count against them.
 */
export class CrashSuspects {
  readonly #losses = PendingLosses.create();
  readonly #contents = ContentTable.create();
  readonly #successes = RecentSuccesses.create();
  readonly #probes = ProbeTable.create();

  static create(): CrashSuspects {
    return new CrashSuspects();
  }

  /** Number of contents and parts that have crashed an upstream. */
  get size(): number {
    return this.#contents.size;
  }

  /** Number of confirmed crashes of a content or part. */
  crashes(key: string): number {
    return this.#contents.crashes(key);
  }

  /** Decides whether a request may be placed; deciding once more for the same job changes nothing. */
  decide(
    request: SuspectRequest,
    now: Timestamp,
    options: Readonly<{
      job: JobId;
      /** Whether this daemon grants trials on behalf of all daemons. */
      allowTrial: boolean;
      /** Time until the request's deadline. */
      leftMs: Millis;
    }>,
  ): ContentDecision {
    const { job, allowTrial, leftMs } = options;
    this.#losses.expire(now);
    const found = keysOf(request).flatMap((key) =>
      this.#suspicionOf(key, job, now) ?? []
    );
    const [worst] = [...found].sort((a, b) => b.waitMs - a.waitMs);
    if (worst === undefined) return { type: "run" };
    const quarantined = found.find((one) => one.type === "quarantined");
    const needsTrial = quarantined !== undefined && !allowTrial &&
      !this.#contents.isTrial(quarantined.key, job);
    if (worst.waitMs > 0 || needsTrial) {
      const { key, waitMs } = worst.waitMs > 0 ? worst : quarantined!;
      const retryAfterMs = Math.ceil(Math.max(waitMs, MIN_RETRY_AFTER_MS));
      return { type: "refuse", key, crashes: this.crashes(key), retryAfterMs };
    }
    const suspected = found.filter(({ type }) => type === "suspected")
      .map(({ key }) => key);
    this.#probes.start(suspected, job, { now, leftMs });
    for (const { type, key } of found) {
      if (type === "suspected" || this.#contents.isTrial(key, job)) continue;
      this.#contents.startTrial(key, job, now);
    }
    const { key } = quarantined ?? worst;
    const type = quarantined === undefined ? "probe" : "trial";
    return { type, key, crashes: this.crashes(key) };
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

  /** Merges records read from the store; one of a key that this process has seen answered is void. */
  restore(
    records: readonly ContentRecord[],
    now: Timestamp,
  ): readonly MergedContent[] {
    const merged = this.#contents.merge(records, now);
    for (const { digest } of merged) {
      if (this.#successes.has(digest, now)) this.#contents.clear(digest, now);
    }
    return merged;
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
    this.#probes.end(attempt.job);
    switch (report.outcome) {
      case "disconnected":
      case "silent":
        return this.#recordLoss(report, attempt, now);
      case "answered":
        return keysOf(report).flatMap((key) => this.#recordSuccess(key, now));
      case "not_run":
        this.#cancelTrials(report, attempt.job, "may_be_sent");
        return [];
    }
  }

  /** Gives back the trial or probe of a request that was not placed. */
  cancel(request: SuspectRequest, job: JobId): void {
    this.#probes.end(job);
    this.#cancelTrials(request, job, "never_sent");
  }

  /** Ends the probe of a job whose outcome says nothing. */
  jobEnded(job: JobId): void {
    this.#probes.end(job);
  }

  /** Drops the loss of a job whose upstream is heard again after a silence. */
  silenceEnded(
    { job, upstream }: Pick<ContentAttempt, "job" | "upstream">,
    now: Timestamp,
  ): void {
    this.#losses.clearSilence(upstream, job, { now });
    this.#probes.end(job);
  }

  /** Counts the confirmed end of an upstream's process against what it was lost with. */
  processEnded(
    upstream: UpstreamId,
    evidence: CrashEvidence,
    now: Timestamp,
    startedAt?: number,
  ): readonly SuspicionUpdate[] {
    const isShownByRegister = evidence === "register";
    if (isShownByRegister || startedAt !== undefined) {
      const start = isShownByRegister ? undefined : startedAt;
      this.#losses.processEnded(upstream, now, start);
    }
    // A crash counts once for a key, however many requests with it were running.
    const losses = [...this.#losses.takeCrashes(upstream, now)];
    const hasSuspectPart = losses.some(([key]) =>
      this.#isSuspectPart(key, now)
    );
    return losses.map(([key, loss]) => {
      const details = { key, upstream, evidence, lostMsAgo: now - loss.at };
      if (this.#isSpared(key, loss, { now, hasSuspectPart })) {
        return { kind: "spared", crashes: this.crashes(key), ...details };
      }
      const process = `${upstream}/${loss.startedAt}`;
      const crashes = this.#contents.recordCrash(key, process, now);
      return { kind: "suspected", crashes, ...details };
    });
  }

  /** Drops the losses of an upstream that has turned out to be running still. */
  upstreamAlive(upstream: UpstreamId, now: Timestamp): void {
    for (const { job } of this.#losses.takeLosses(upstream, now).values()) {
      this.#probes.end(job);
    }
  }

  #recordLoss(
    report: ContentReport,
    { upstream, startedAt, job }: ContentAttempt,
    at: Timestamp,
  ): readonly SuspicionUpdate[] {
    const disconnected = report.outcome === "disconnected";
    const sentAt = addMs(at, -(report.ranMs ?? Infinity));
    const { answeringMs = 0 } = report;
    const loss = { job, at, sentAt, answeringMs, startedAt, disconnected };
    const hasEnded = this.#losses.add(keysOf(report), upstream, loss);
    this.#holdLoneSuspects(upstream, at);
    return hasEnded ? this.processEnded(upstream, "register", at) : [];
  }

  /** Delays the next request with the parts of the request that alone may have ended an upstream. */
  #holdLoneSuspects(upstream: UpstreamId, now: Timestamp): void {
    const suspects = [...this.#losses.of(upstream, now)]
      .filter(([key]) => this.#isSuspectPart(key, now));
    for (const job of jobsOf(suspects)) this.#probes.end(job);
    // An answer that has gone well for a while is less likely to be the cause.
    const starting = suspects.filter(([, loss]) =>
      loss.answeringMs < STARTING_ANSWER_MS
    );
    const likely = starting.length > 0 ? starting : suspects;
    const jobs = jobsOf(likely);
    if (jobs.size > 1 && likely.length > 1) return;
    const [loss] = likely.map(([, one]) => one);
    if (loss === undefined) return;
    const leftMs = loss.at + LONE_SUSPECT_DELAY_MS - now;
    const keys = likely.map(([key]) => key);
    this.#probes.start(keys, loss.job, { now, leftMs });
  }

  #recordSuccess(key: string, now: Timestamp): readonly SuspicionUpdate[] {
    this.#losses.clear(key);
    this.#successes.record(key, now);
    const crashes = this.#contents.clear(key, now);
    return crashes === 0 ? [] : [{ kind: "cleared", key, crashes }];
  }

  #cancelTrials(
    request: SuspectRequest,
    job: JobId,
    sent: "may_be_sent" | "never_sent",
  ): void {
    for (const key of keysOf(request)) {
      this.#contents.cancelTrial(key, job, sent);
    }
  }

  #isSuspectPart(key: string, now: Timestamp): boolean {
    return partOfKey(key) !== undefined && !this.#successes.has(key, now);
  }

  /** Whether a crash does not count against a key that was lost with the upstream, as it was answered before. */
  #isSpared(
    key: string,
    { sentAt }: UpstreamLoss,
    crash: Readonly<{ now: Timestamp; hasSuspectPart: boolean }>,
  ): boolean {
    const { now, hasSuspectPart } = crash;
    if (!this.#successes.has(key, now)) return false;
    // A content has no other answers than its own, so that it is spared as long as its success counts.
    if (hasSuspectPart || partOfKey(key) === undefined) return true;
    return !this.#successes.revoke(key, now, { sentAt });
  }

  #suspicionOf(
    key: string,
    job: JobId,
    now: Timestamp,
  ): Suspicion | undefined {
    const trialWaitMs = this.#contents.trialWaitMs(key, now);
    if (trialWaitMs !== undefined) {
      if (this.#isExplained(key)) return undefined;
      const isTrial = this.#contents.isTrial(key, job);
      return { type: "quarantined", key, waitMs: isTrial ? 0 : trialWaitMs };
    }
    if (!this.#isSuspectPart(key, now)) return undefined;
    const crashes = this.crashes(key);
    if (crashes === 0 && !this.#losses.includes(key)) return undefined;
    if (this.#isExplained(key)) return undefined;
    const waitMs = this.#probes.heldMs(key, job, now);
    return { type: "suspected", key, waitMs };
  }

  #isExplained(key: string): boolean {
    const crashes = this.#contents.processes(key);
    return this.#contents.explanations.isExplained({ key, crashes });
  }
}

function jobsOf(
  losses: readonly (readonly [string, UpstreamLoss])[],
): ReadonlySet<JobId> {
  return new Set(losses.map(([, { job }]) => job));
}
