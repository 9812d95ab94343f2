import {
  addMs,
  type Millis,
  MINUTE_MS,
  SECOND_MS,
  type Timestamp,
} from "../core/time.ts";
import {
  type ContentRecord,
  joinRecords,
  splitRecords,
  summarizeQuarantine,
} from "./content_record.ts";
import type { CrashSet } from "./crash_evidence.ts";
import { CrashExplanations } from "./crash_explanations.ts";
import { NO_PROCESSES, withProcess } from "./crash_set.ts";
import { EvictingMap } from "./evicting_map.ts";
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
/** Default capacity; holds the parts of five prompts with the longest list of parts. */
const MAX_PARTS = 16_384;
/** Time between scans for expired entries. */
const EXPIRY_INTERVAL_MS: Millis = 10 * SECOND_MS;

/** A content that upstream processes ended with, or that was cleared. */
type Content = {
  /** How often the content was cleared. */
  epoch: number;
  /**
   * Upstream processes that ended while running the content; empty after it was cleared. Parts of one prompt share the
   * set.
   */
  lost: ReadonlySet<string>;
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
  /** Contents that the table holds, and parts beside them. */
  maxContents: number;
  maxParts: number;
}>;

const DEFAULT_LIMITS: ContentTableLimits = {
  suspectRetentionMs: SUSPECT_RETENTION_MS,
  maxContents: MAX_CONTENTS,
  maxParts: MAX_PARTS,
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
  readonly #contents: EvictingMap<Content>;
  readonly #parts: EvictingMap<Content>;
  readonly #limits: ContentTableLimits;
  #quarantineSummary: string | undefined;
  #explanations: CrashExplanations | undefined;
  #nextExpiryAt = 0 as Timestamp;

  private constructor(limits: ContentTableLimits) {
    this.#limits = limits;
    const { maxContents, maxParts } = limits;
    const isKept = isQuarantined;
    this.#contents = EvictingMap.create({ maxEntries: maxContents, isKept });
    this.#parts = EvictingMap.create({ maxEntries: maxParts, isKept });
  }

  static create(limits: ContentTableLimits = DEFAULT_LIMITS): ContentTable {
    return new ContentTable(limits);
  }

  /** Number of contents that have crashed an upstream. */
  get size(): number {
    return this.#entries().filter(([, { lost }]) => lost.size > 0).length;
  }

  /** Changes whenever the quarantined contents or their counts change; empty where there are none. */
  get quarantineSummary(): string {
    this.#quarantineSummary ??= summarizeQuarantine(
      this.#entries().filter(([, content]) => isQuarantined(content))
        .map(([digest, { epoch, lost, trials }]) => ({
          digest,
          epoch,
          lost: [...lost],
          trials,
        })),
    );
    return this.#quarantineSummary;
  }

  /** Number of confirmed crashes of a content. */
  crashes(digest: string): number {
    return this.#get(digest)?.lost.size ?? 0;
  }

  /** Processes that ended with a content. */
  processes(digest: string): ReadonlySet<string> {
    return this.#get(digest)?.lost ?? NO_PROCESSES;
  }

  /** Counts the end of an upstream's process against a content; returns the crash count. */
  recordCrash(digest: string, process: string, now: Timestamp): number {
    const content = this.#get(digest) ?? createContent(now);
    content.lost = withProcess(content.lost, process);
    content.changedAt = now;
    content.trialJob = undefined;
    this.#put(digest, content, now);
    return content.lost.size;
  }

  /** Clears a content that ran successfully; returns the crash count before. */
  clear(digest: string, now: Timestamp): number {
    const known = this.#get(digest);
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
    const records = this.#entries()
      .sort(([, a], [, b]) => rank(a) - rank(b) || b.changedAt - a.changedAt)
      .map(([digest, { epoch, lost, trials, changedAt }]) => ({
        digest,
        epoch,
        lost: [...lost],
        trials,
        ageMs: Math.round(now - changedAt),
      }));
    return joinRecords(records);
  }

  /** Merges records of another daemon or of the store; returns those that were new here. */
  merge(
    records: readonly ContentRecord[],
    now: Timestamp,
  ): readonly MergedContent[] {
    return splitRecords(records).flatMap((record) => {
      const { digest, epoch } = record;
      const known = this.#get(digest);
      if (known !== undefined && epoch < known.epoch) return [];
      const base = known?.epoch === epoch
        ? known
        : { ...createContent(addMs(now, -record.ageMs)), epoch };
      const merged = {
        ...base,
        lost: record.lost.reduce(withProcess, base.lost),
        trials: Math.max(base.trials, record.trials),
        changedAt: Math.max(base.changedAt, now - record.ageMs) as Timestamp,
      };
      if (now - merged.changedAt > this.#retentionMs(merged)) return [];
      const crashes = merged.lost.size;
      const isUnchanged = known?.epoch === epoch &&
        known.lost.size === crashes &&
        known.trials === merged.trials;
      if (isUnchanged) {
        known.changedAt = merged.changedAt;
        return [];
      }
      this.#put(digest, merged, now);
      return [{ digest, crashes, epoch }];
    });
  }

  /** Drops contents past their retention time. */
  expire(now: Timestamp): void {
    if (now < this.#nextExpiryAt) return;
    this.#nextExpiryAt = addMs(now, EXPIRY_INTERVAL_MS);
    for (const [digest, content] of this.#entries()) {
      if (now - content.changedAt <= this.#retentionMs(content)) continue;
      this.#mapOf(digest).delete(digest);
      this.#forgetDerived();
    }
  }

  /**
   * Time until the next trial of a quarantined key, undefined where it is not quarantined. Load pattern: a client that
   * keeps sending what crashes upstreams, to any daemon. Two upstreams may be lost to it; then it gets trials at
   * growing intervals, since it may be healthy.
   */
  trialWaitMs(key: string, now: Timestamp): Millis | undefined {
    const content = this.#get(key);
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
    return this.#get(key)?.trialJob === job;
  }

  startTrial(key: string, job: string, now: Timestamp): void {
    const content = this.#get(key);
    if (content === undefined) return;
    content.trials += 1;
    content.trialJob = job;
    content.changedAt = now;
    this.#quarantineSummary = undefined;
  }

  /** Ends the trial of a request that may have crashed its upstream; the request is no trial any more. */
  useUpTrial(key: string, job: string): void {
    const content = this.#get(key);
    if (content?.trialJob === job) content.trialJob = undefined;
  }

  /** Gives back the trial of a request that did not run; once the limit is reached, only if it was `never_sent`. */
  cancelTrial(
    key: string,
    job: string,
    sent: "may_be_sent" | "never_sent",
  ): void {
    const content = this.#get(key);
    if (content?.trialJob !== job) return;
    content.trialJob = undefined;
    if (sent === "may_be_sent" && content.lost.size >= crashLimitOf(key)) {
      // It has reached an upstream, which counts like a crash from here on.
      content.lost = new Set([...content.lost, `turned_away/${job}`]);
      this.#forgetDerived();
      return;
    }
    content.trials -= 1;
    this.#quarantineSummary = undefined;
  }

  /** What has crashed upstreams, with their processes. */
  crashSets(): readonly CrashSet[] {
    return this.#entries().map(([key, { lost }]) => ({
      key,
      crashes: lost,
    }));
  }

  /** What else explains the crashes of a key, by all that is known now. */
  get explanations(): CrashExplanations {
    this.#explanations ??= CrashExplanations.create(this.crashSets());
    return this.#explanations;
  }

  #retentionMs(content: Content): Millis {
    return isQuarantined(content)
      ? QUARANTINE_RETENTION_MS
      : this.#limits.suspectRetentionMs;
  }

  #mapOf(key: string): EvictingMap<Content> {
    return partOfKey(key) === undefined ? this.#contents : this.#parts;
  }

  #get(key: string): Content | undefined {
    return this.#mapOf(key).get(key);
  }

  #entries(): (readonly [string, Content])[] {
    return [...this.#contents, ...this.#parts];
  }

  #put(key: string, content: Content, now: Timestamp): void {
    const map = this.#mapOf(key);
    map.set(key, content);
    this.#forgetDerived();
    if (!map.isFull) return;
    this.expire(now);
    map.evict();
  }

  #forgetDerived(): void {
    this.#quarantineSummary = undefined;
    this.#explanations = undefined;
  }
}

function createContent(changedAt: Timestamp): Content {
  return { epoch: 0, lost: NO_PROCESSES, trials: 0, changedAt };
}

function isQuarantined(content: Content): boolean {
  return content.lost.size >= QUARANTINE_CRASHES;
}
