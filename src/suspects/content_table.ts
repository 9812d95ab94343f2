import {
  addMs,
  type Millis,
  MINUTE_MS,
  SECOND_MS,
  type Timestamp,
} from "../core/time.ts";
import { type ContentRecord, summarizeQuarantine } from "./content_record.ts";
import { CrashEvidence, type CrashSet } from "./crash_evidence.ts";
import { partOfKey } from "./suspect_key.ts";
import {
  crashLimitOf,
  QUARANTINE_CRASHES,
  QUARANTINE_RETENTION_MS,
  trialDelayMs,
} from "./trial_schedule.ts";

/** Default retention of a content with fewer crashes than a quarantine takes. */
const SUSPECT_RETENTION_MS: Millis = MINUTE_MS;
/** Default capacity; holds some minutes of crashes of upstreams with all slots in use. */
const MAX_CONTENTS = 1_024;
/** Processes stored for each content; more make no difference to any decision. */
const MAX_PROCESSES = 8;
/** Records sent at a time; they fit into one message. */
const MAX_RECORDS = 64;
/** Time between scans for expired entries. */
const EXPIRY_INTERVAL_MS: Millis = 10 * SECOND_MS;

const NO_PROCESSES: ReadonlySet<string> = new Set();

/** A content that upstream processes ended with, or that was cleared. */
type Content = {
  /** How often the content was cleared. */
  epoch: number;
  /** Upstream processes that ended while running the content; empty after it was cleared. */
  readonly lost: Set<string>;
  /** Requests let through although the content is quarantined. */
  trials: number;
  /** Id of the request that is the last trial. */
  trialJob?: string;
  /** Time of the last crash, trial or clearing. */
  changedAt: Timestamp;
};

/** Limits of a `ContentTable`. */
export type ContentTableLimits = Readonly<{
  /** Retention of a content with fewer crashes than a quarantine takes. */
  suspectRetentionMs: Millis;
  /** Contents that the table holds. */
  maxContents: number;
}>;

const DEFAULT_LIMITS: ContentTableLimits = {
  suspectRetentionMs: SUSPECT_RETENTION_MS,
  maxContents: MAX_CONTENTS,
};

/** Content whose record was new when merged, with its crash count after the merge. */
export type MergedContent = Readonly<
  { digest: string; crashes: number; epoch: number }
>;

/**
 * Contents that may crash the upstreams that run them. Quarantined contents are never evicted for others. The tables
 * of several daemons converge whatever the order of their messages; of two records, the higher epoch wins.
 */
export class ContentTable {
  readonly #contents = new Map<string, Content>();
  readonly #limits: ContentTableLimits;
  #quarantineSummary: string | undefined;
  #evidence: CrashEvidence | undefined;
  #nextExpiryAt = 0 as Timestamp;

  private constructor(limits: ContentTableLimits) {
    this.#limits = limits;
  }

  static create(limits: ContentTableLimits = DEFAULT_LIMITS): ContentTable {
    return new ContentTable(limits);
  }

  /** Number of contents that have crashed an upstream. */
  get size(): number {
    return [...this.#contents.values()].filter((content) =>
      content.lost.size > 0
    )
      .length;
  }

  /** Changes whenever the quarantined contents or their counts change; empty where there are none. */
  get quarantineSummary(): string {
    this.#quarantineSummary ??= summarizeQuarantine(
      [...this.#contents].map(([digest, content]) => ({
        ...content,
        digest,
        lost: [...content.lost],
      })),
    );
    return this.#quarantineSummary;
  }

  /** Number of confirmed crashes of a content. */
  crashes(digest: string): number {
    return this.#contents.get(digest)?.lost.size ?? 0;
  }

  /** Processes that ended with a content. */
  processes(digest: string): ReadonlySet<string> {
    return this.#contents.get(digest)?.lost ?? NO_PROCESSES;
  }

  /** Counts the end of an upstream's process against a content; returns the crash count. */
  recordCrash(digest: string, process: string, now: Timestamp): number {
    const content = this.#contents.get(digest) ?? createContent(now);
    if (content.lost.size < MAX_PROCESSES) content.lost.add(process);
    content.changedAt = now;
    content.trialJob = undefined;
    this.#put(digest, content, now);
    return content.lost.size;
  }

  /** Clears a content that ran successfully; returns the crash count before. */
  clear(digest: string, now: Timestamp): number {
    const known = this.#contents.get(digest);
    if (known === undefined || known.lost.size === 0) return 0;
    // The entry stays until it expires, so that the clearing reaches the other daemons.
    const cleared = { ...createContent(now), epoch: known.epoch + 1 };
    this.#put(digest, cleared, now);
    return known.lost.size;
  }

  /** Records to send: quarantined contents first, then cleared ones, then the newest suspects. */
  records(now: Timestamp): readonly ContentRecord[] {
    const rank = (content: Content) =>
      isQuarantined(content) ? 0 : content.lost.size === 0 ? 1 : 2;
    return [...this.#contents]
      .sort(([, a], [, b]) => rank(a) - rank(b) || b.changedAt - a.changedAt)
      .slice(0, MAX_RECORDS)
      .map(([digest, { epoch, lost, trials, changedAt }]) => ({
        digest,
        epoch,
        lost: [...lost],
        trials,
        ageMs: Math.round(now - changedAt),
      }));
  }

  /** Merges records of another daemon or of the store; returns those that were new here. */
  merge(
    records: readonly ContentRecord[],
    now: Timestamp,
  ): readonly MergedContent[] {
    return records.flatMap((record) => {
      const { digest, epoch } = record;
      const known = this.#contents.get(digest);
      if (known !== undefined && epoch < known.epoch) return [];
      const base = known?.epoch === epoch
        ? known
        : { ...createContent(addMs(now, -record.ageMs)), epoch };
      const lost = [...new Set([...base.lost, ...record.lost])];
      const merged = {
        ...base,
        lost: new Set(lost.slice(0, MAX_PROCESSES)),
        trials: Math.max(base.trials, record.trials),
        changedAt: Math.max(base.changedAt, now - record.ageMs) as Timestamp,
      };
      if (now - merged.changedAt > this.#retentionMs(merged)) return [];
      this.#put(digest, merged, now);
      const crashes = merged.lost.size;
      const isUnchanged = known?.epoch === epoch &&
        known.lost.size === crashes &&
        known.trials === merged.trials;
      return isUnchanged ? [] : [{ digest, crashes, epoch }];
    });
  }

  /** Drops contents past their retention time. */
  expire(now: Timestamp): void {
    if (now < this.#nextExpiryAt) return;
    this.#nextExpiryAt = addMs(now, EXPIRY_INTERVAL_MS);
    for (const [digest, content] of this.#contents) {
      if (now - content.changedAt <= this.#retentionMs(content)) continue;
      this.#contents.delete(digest);
      this.#quarantineSummary = undefined;
      this.#evidence = undefined;
    }
  }

  /**
   * Time until the next trial of a quarantined key, undefined where it is not quarantined. Load pattern: a client that
   * keeps sending what crashes upstreams, to any daemon. Two upstreams may be lost to it; then it gets trials at
   * growing intervals, since it may be healthy.
   */
  trialWaitMs(key: string, now: Timestamp): Millis | undefined {
    const content = this.#contents.get(key);
    if (content === undefined || !isQuarantined(content)) return undefined;
    const { lost, trials } = content;
    const delayMs = trialDelayMs(
      { crashes: lost.size, trials },
      crashLimitOf(key),
    );
    return Math.max(0, addMs(content.changedAt, delayMs) - now);
  }

  /** Whether a job is the current trial of a quarantined key. */
  isTrial(key: string, job: string): boolean {
    return this.#contents.get(key)?.trialJob === job;
  }

  startTrial(key: string, job: string, now: Timestamp): void {
    const content = this.#contents.get(key);
    if (content === undefined) return;
    content.trials += 1;
    content.trialJob = job;
    content.changedAt = now;
    this.#quarantineSummary = undefined;
  }

  /** Ends the trial of a request that may have crashed its upstream; the request is no trial any more. */
  useUpTrial(key: string, job: string): void {
    const content = this.#contents.get(key);
    if (content?.trialJob === job) content.trialJob = undefined;
  }

  /** Gives back the trial of a request that did not run; once the limit is reached, only if it was `never_sent`. */
  cancelTrial(
    key: string,
    job: string,
    sent: "may_be_sent" | "never_sent",
  ): void {
    const content = this.#contents.get(key);
    if (content?.trialJob !== job) return;
    content.trialJob = undefined;
    if (sent === "may_be_sent" && content.lost.size >= crashLimitOf(key)) {
      // It has reached an upstream, which counts like a crash from here on.
      content.lost.add(`turned_away/${job}`);
      this.#quarantineSummary = undefined;
      this.#evidence = undefined;
      return;
    }
    content.trials -= 1;
    this.#quarantineSummary = undefined;
  }

  /** What has crashed upstreams, with their processes. */
  crashSets(): readonly CrashSet[] {
    return [...this.#contents].map(([key, { lost }]) => ({
      key,
      crashes: lost,
    }));
  }

  /**
   * Whether others explain all crashes of a key. Either a part was aboard each of them and, if the key is a part too, at
   * others as well; or each has a culprit of its own.
   */
  isExplained(key: string): boolean {
    const lost = this.#contents.get(key)?.lost;
    if (lost === undefined || lost.size === 0) return false;
    return this.isCoveredByPart(key) || this.#hasCulprits(key, lost);
  }

  /** Whether a part was aboard all crashes of a key and, if the key is a part too, at others as well. */
  isCoveredByPart(key: string): boolean {
    const lost = this.#contents.get(key)?.lost;
    if (lost === undefined) return false;
    const isPart = partOfKey(key) !== undefined;
    const minCrashes = isPart ? lost.size + 1 : lost.size;
    return this.hasCommonPart(
      [...lost],
      (other, crashes) => other !== key && crashes >= minCrashes,
    );
  }

  #hasCulprits(key: string, lost: ReadonlySet<string>): boolean {
    this.#evidence ??= CrashEvidence.create(this.crashSets());
    const evidence = this.#evidence;
    return [...lost].every((process) =>
      evidence.isExplained(process, lost, (other) => other === key)
    );
  }

  /** Whether a part was aboard all of these crashes, of those that `accepts` by their key and number of crashes. */
  hasCommonPart(
    lost: readonly string[],
    accepts: (key: string, crashes: number) => boolean,
  ): boolean {
    if (lost.length === 0) return false;
    for (const [key, content] of this.#contents) {
      const { size } = content.lost;
      if (partOfKey(key) === undefined || size < lost.length) continue;
      const isCommon = lost.every((process) => content.lost.has(process));
      if (isCommon && accepts(key, size)) return true;
    }
    return false;
  }

  #retentionMs(content: Content): Millis {
    return isQuarantined(content)
      ? QUARANTINE_RETENTION_MS
      : this.#limits.suspectRetentionMs;
  }

  #put(digest: string, content: Content, now: Timestamp): void {
    this.#contents.delete(digest);
    this.#contents.set(digest, content);
    this.#quarantineSummary = undefined;
    this.#evidence = undefined;
    const { maxContents } = this.#limits;
    if (this.#contents.size <= maxContents) return;
    this.expire(now);
    // Evicts the oldest entry, quarantined entries last.
    const keys = [...this.#contents.keys()];
    const dropped =
      keys.find((key) => !isQuarantined(this.#contents.get(key)!)) ?? keys[0]!;
    if (this.#contents.size > maxContents) this.#contents.delete(dropped);
  }
}

function createContent(changedAt: Timestamp): Content {
  return { epoch: 0, lost: new Set(), trials: 0, changedAt };
}

function isQuarantined(content: Content): boolean {
  return content.lost.size >= QUARANTINE_CRASHES;
}
