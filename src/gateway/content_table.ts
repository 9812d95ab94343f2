import { addMs, type Millis, SECOND_MS, type Timestamp } from "../core/time.ts";
import type { JobId } from "../scheduling/pool/pool_job.ts";

const MINUTE_MS: Millis = 60 * SECOND_MS;
/** Confirmed crashes after which a content is quarantined; the platform tolerates three. */
export const MAX_CRASHES = 2;
/** Crashes after which a content is tried three more times at most, as the platform states it. */
const CERTAIN_CRASHES = 3;
const MAX_CERTAIN_TRIALS = 3;
/** Time until a quarantined content is tried with one request, doubled by each trial: broken links look like crashes. */
const TRIAL_MS: Millis = 5 * SECOND_MS;
/** The same after the third crash, doubled by each further one. */
const CERTAIN_TRIAL_MS: Millis = MINUTE_MS;
/** How long a suspected content is remembered, and how long a quarantined one. */
const SUSPECT_MS: Millis = MINUTE_MS;
const QUARANTINE_MS: Millis = 60 * MINUTE_MS;
/** Contents that are remembered at most: some minutes of crashes with full slots. */
const MAX_CONTENTS = 1_024;

/** What is known of one content that was lost with upstreams. */
type Content = {
  /** Upstream processes that have ended with it. */
  readonly lost: Set<string>;
  /** Requests that were let through although the content is quarantined. */
  trials: number;
  trial?: JobId;
  /** Time of the last crash or trial. */
  at: Timestamp;
};

/** Whether a request with some content may be placed; `retryAfterMs` says when the next one may. */
export type ContentDecision =
  | Readonly<{ type: "run" | "trial" }>
  | Readonly<{ type: "refuse"; crashes: number; retryAfterMs: Millis }>;

/** Contents that may crash the upstreams that run them; what is quarantined is never dropped for what isn't. */
export class ContentTable {
  readonly #contents = new Map<string, Content>();

  static create(): ContentTable {
    return new ContentTable();
  }

  get size(): number {
    return this.#contents.size;
  }

  /** Confirmed crashes of a content. */
  crashes(digest: string): number {
    return this.#contents.get(digest)?.lost.size ?? 0;
  }

  /** Counts the end of an upstream's process against a content; returns how many there are. */
  crashed(digest: string, upstream: string, now: Timestamp): number {
    const content = this.#contents.get(digest) ??
      { lost: new Set<string>(), trials: 0, at: now };
    content.lost.add(upstream);
    content.at = now;
    this.#put(digest, content, now);
    return content.lost.size;
  }

  /** Forgets a content that was answered; returns how many crashes were counted. */
  clear(digest: string): number {
    const crashes = this.crashes(digest);
    this.#contents.delete(digest);
    return crashes;
  }

  /**
   * Decides on a request. Load pattern: a client that sends the same poison request again and again, to any daemon.
   * Two upstreams may be lost to it; a quarantined content is then tried ever less often, as it may be healthy.
   */
  decide(digest: string, job: JobId, now: Timestamp): ContentDecision {
    const content = this.#contents.get(digest);
    if (content === undefined || !isQuarantined(content)) {
      return { type: "run" };
    }
    if (now - content.at > QUARANTINE_MS) {
      this.#contents.delete(digest);
      return { type: "run" };
    }
    const waitMs = addMs(content.at, trialWaitMs(content)) - now;
    if (waitMs > 0) {
      const crashes = content.lost.size;
      return { type: "refuse", crashes, retryAfterMs: Math.ceil(waitMs) };
    }
    content.trials += 1;
    content.trial = job;
    content.at = now;
    return { type: "trial" };
  }

  /** Takes a trial back that the upstream has not run. */
  notRun(digest: string, job: JobId): void {
    const content = this.#contents.get(digest);
    if (content?.trial !== job) return;
    content.trial = undefined;
    content.trials -= 1;
  }

  #put(digest: string, content: Content, now: Timestamp): void {
    this.#contents.delete(digest);
    this.#contents.set(digest, content);
    if (this.#contents.size <= MAX_CONTENTS) return;
    for (const [key, one] of this.#contents) {
      const keepMs = isQuarantined(one) ? QUARANTINE_MS : SUSPECT_MS;
      if (now - one.at > keepMs) this.#contents.delete(key);
    }
    // The oldest entry goes, quarantined ones last.
    const keys = [...this.#contents.keys()];
    const dropped =
      keys.find((key) => !isQuarantined(this.#contents.get(key)!)) ?? keys[0]!;
    if (this.#contents.size > MAX_CONTENTS) this.#contents.delete(dropped);
  }
}

function isQuarantined(content: Content): boolean {
  return content.lost.size >= MAX_CRASHES;
}

/** Time from the last crash or trial to the next trial. */
function trialWaitMs({ lost, trials }: Content): Millis {
  const doubtMs = TRIAL_MS * 2 ** trials;
  const over = lost.size - CERTAIN_CRASHES;
  if (over < 0) return doubtMs;
  if (over >= MAX_CERTAIN_TRIALS) return QUARANTINE_MS;
  return Math.max(doubtMs, CERTAIN_TRIAL_MS * 2 ** over);
}
