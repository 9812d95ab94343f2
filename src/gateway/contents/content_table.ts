import {
  addMs,
  type Millis,
  SECOND_MS,
  type Timestamp,
} from "../../core/time.ts";
import type { JobId } from "../../scheduling/pool/pool_job.ts";
import type { ContentRecord } from "./content_record.ts";

const MINUTE_MS: Millis = 60 * SECOND_MS;
/** Confirmed crashes after which a content is quarantined; the platform tolerates three. */
export const QUARANTINE_CRASHES = 2;
/** Crashes after which a content is tried three more times at most, as the platform states it. */
const POISON_CRASHES = 3;
const MAX_POISON_TRIALS = 3;
/** Time until a quarantined content is tried with one request, doubled by each trial: broken links look like crashes. */
const TRIAL_DELAY_MS: Millis = 5 * SECOND_MS;
/** The same after the third crash, doubled by each further one. */
const POISON_TRIAL_DELAY_MS: Millis = MINUTE_MS;
/** Shortest Retry-After of a quarantined content; a client that comes sooner can't find it changed. */
const MIN_RETRY_AFTER_MS: Millis = SECOND_MS;
/** How long a suspected content is remembered, and how long a quarantined one. */
const SUSPECT_RETENTION_MS: Millis = MINUTE_MS;
const QUARANTINE_RETENTION_MS: Millis = 60 * MINUTE_MS;
/** Contents that are remembered at most: some minutes of crashes with full slots. */
const MAX_CONTENTS = 1_024;
/** Processes that are remembered of those lost with one content; more make no difference. */
const MAX_PROCESSES = 8;
/** Records that are told at a time; one message holds them. */
const MAX_RECORDS = 64;
/** How often entries that are too old are looked for. */
const EXPIRY_INTERVAL_MS: Millis = 10 * SECOND_MS;

/** What is known of one content that was lost with upstreams. */
type Content = {
  /** Counts how often the content was cleared. */
  epoch: number;
  /** Upstream processes that have ended with it; none where it was cleared. */
  readonly lost: Set<string>;
  /** Requests that were let through although the content is quarantined. */
  trials: number;
  trialJob?: JobId;
  /** Time of the last crash or trial, or when it was cleared. */
  changedAt: Timestamp;
};

/** Whether a request with some content may be placed; `retryAfterMs` says when the next one may. */
export type ContentDecision =
  | Readonly<{ type: "run" | "trial" }>
  | Readonly<{ type: "refuse"; crashes: number; retryAfterMs: Millis }>;

/** What is known of one content; the epochs of two daemons decide whose knowledge counts. */
export type MergedContent = Readonly<
  { digest: string; crashes: number; epoch: number }
>;

/**
 * Contents that may crash the upstreams that run them; what is quarantined is never dropped for what isn't. Tables of
 * several daemons come to agree in whatever order they hear from each other.
 */
export class ContentTable {
  readonly #contents = new Map<string, Content>();
  #quarantineSummary: string | undefined;
  #nextExpiryAt = 0 as Timestamp;

  static create(): ContentTable {
    return new ContentTable();
  }

  /** Contents that have crashed an upstream. */
  get size(): number {
    return [...this.#contents.values()].filter((content) =>
      content.lost.size > 0
    )
      .length;
  }

  /** Changes with what is known of quarantined contents; empty where none is. */
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

  /** Confirmed crashes of a content. */
  crashes(digest: string): number {
    return this.#contents.get(digest)?.lost.size ?? 0;
  }

  /** Counts the end of an upstream's process against a content; returns how many there are. */
  recordCrash(digest: string, process: string, now: Timestamp): number {
    const content = this.#contents.get(digest) ?? createContent(now);
    if (content.lost.size < MAX_PROCESSES) content.lost.add(process);
    content.changedAt = now;
    this.#put(digest, content, now);
    return content.lost.size;
  }

  /** Clears a content that was answered; returns how many crashes were counted. */
  clear(digest: string, now: Timestamp): number {
    const known = this.#contents.get(digest);
    if (known === undefined || known.lost.size === 0) return 0;
    // The entry stays for a while, so that other daemons learn of it.
    const cleared = { ...createContent(now), epoch: known.epoch + 1 };
    this.#put(digest, cleared, now);
    return known.lost.size;
  }

  /** What others should know: quarantined contents first, then those that were cleared, then the newest suspects. */
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

  /** Whether something is known of a content. */
  has(digest: string): boolean {
    return this.#contents.has(digest);
  }

  /** Takes over what another daemon, or the store, knows; returns what was new here. */
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
      if (now - merged.changedAt > retentionMs(merged)) return [];
      this.#put(digest, merged, now);
      const crashes = merged.lost.size;
      const isUnchanged = known?.epoch === epoch &&
        known.lost.size === crashes &&
        known.trials === merged.trials;
      return isUnchanged ? [] : [{ digest, crashes, epoch }];
    });
  }

  /** Drops what is too old. */
  expire(now: Timestamp): void {
    if (now < this.#nextExpiryAt) return;
    this.#nextExpiryAt = addMs(now, EXPIRY_INTERVAL_MS);
    for (const [digest, content] of this.#contents) {
      if (now - content.changedAt <= retentionMs(content)) continue;
      this.#contents.delete(digest);
      this.#quarantineSummary = undefined;
    }
  }

  /**
   * Decides on a request. Load pattern: a client that sends the same poison request again and again, to any daemon.
   * Two upstreams may be lost to it; a quarantined content is then tried ever less often, as it may be healthy.
   */
  decide(
    digest: string,
    now: Timestamp,
    options: Readonly<{
      job: JobId;
      /** Whether this daemon may let a trial through, for all. */
      allowTrial: boolean;
    }>,
  ): ContentDecision {
    const content = this.#contents.get(digest);
    if (content === undefined || !isQuarantined(content)) {
      return { type: "run" };
    }
    const waitMs = addMs(content.changedAt, trialDelayMs(content)) - now;
    if (waitMs > 0 || !options.allowTrial) {
      const crashes = content.lost.size;
      const retryAfterMs = Math.ceil(Math.max(waitMs, MIN_RETRY_AFTER_MS));
      return { type: "refuse", crashes, retryAfterMs };
    }
    content.trials += 1;
    content.trialJob = options.job;
    content.changedAt = now;
    this.#quarantineSummary = undefined;
    return { type: "trial" };
  }

  /** Takes a trial back that did not run. */
  cancelTrial(digest: string, job: JobId): void {
    const content = this.#contents.get(digest);
    if (content?.trialJob !== job) return;
    content.trialJob = undefined;
    content.trials -= 1;
    this.#quarantineSummary = undefined;
  }

  #put(digest: string, content: Content, now: Timestamp): void {
    this.#contents.delete(digest);
    this.#contents.set(digest, content);
    this.#quarantineSummary = undefined;
    if (this.#contents.size <= MAX_CONTENTS) return;
    this.expire(now);
    // The oldest entry goes, quarantined ones last.
    const keys = [...this.#contents.keys()];
    const dropped =
      keys.find((key) => !isQuarantined(this.#contents.get(key)!)) ?? keys[0]!;
    if (this.#contents.size > MAX_CONTENTS) this.#contents.delete(dropped);
  }
}

/** Sums up what records say of quarantined contents. */
export function summarizeQuarantine(
  records: readonly Omit<ContentRecord, "ageMs">[],
): string {
  return records.filter(({ lost }) => lost.length >= QUARANTINE_CRASHES)
    .map(({ digest, epoch, lost, trials }) =>
      `${digest}:${epoch}:${lost.length}:${trials}`
    ).sort().join(" ");
}

function createContent(changedAt: Timestamp): Content {
  return { epoch: 0, lost: new Set(), trials: 0, changedAt };
}

function retentionMs(content: Content): Millis {
  return isQuarantined(content)
    ? QUARANTINE_RETENTION_MS
    : SUSPECT_RETENTION_MS;
}

function isQuarantined(content: Content): boolean {
  return content.lost.size >= QUARANTINE_CRASHES;
}

/** Time from the last crash or trial to the next trial. */
function trialDelayMs({ lost, trials }: Content): Millis {
  const backoffMs = TRIAL_DELAY_MS * 2 ** trials;
  const crashesBeyondPoison = lost.size - POISON_CRASHES;
  if (crashesBeyondPoison < 0) return backoffMs;
  if (crashesBeyondPoison >= MAX_POISON_TRIALS) return QUARANTINE_RETENTION_MS;
  return Math.max(backoffMs, POISON_TRIAL_DELAY_MS * 2 ** crashesBeyondPoison);
}
