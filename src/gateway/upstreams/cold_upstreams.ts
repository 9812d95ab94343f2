import { evictOldest } from "../../core/evict_oldest.ts";
import { z } from "zod";
import type { UpstreamId } from "../../core/id.ts";
import { addMs, type Millis, type Timestamp } from "../../core/time.ts";
import { millisSchema, unixMsSchema } from "../../wire/bounds.ts";
import { idSchema } from "../../wire/brands.ts";

/** More than the largest deployment has. */
const MAX_UPSTREAMS = 4_096;
/** Longest cold time that one statement sets; an upstream that is cold for longer states it again. */
const MAX_COLD_MS: Millis = 60_000;
/** By how much two statements of the same cold time may differ, as they travel. */
const SAME_TIME_MS: Millis = 500;

/** What a daemon knows of a cold process of an upstream. */
export const ColdNoticeSchema = z.object({
  upstream: idSchema<UpstreamId>(),
  /** Unix time in ms of the process's start. */
  startedAt: unixMsSchema,
  /** Time in ms until it is warm. */
  coldMs: millisSchema,
}).readonly();
/** What a daemon knows of a cold process of an upstream. */
export type ColdNotice = z.infer<typeof ColdNoticeSchema>;

type ColdProcess = Readonly<{ startedAt: number; warmAt: Timestamp }>;

/**
 * Upstreams that are cold: until they are warm, each accepts a rate that its service states.
 * Load pattern: upstreams start, or turn cold again at any moment, while all daemons send to them. Of several statements
 * about a process, the one that keeps it cold for longest holds: an older one can't end a newer one.
 */
export class ColdUpstreams {
  readonly #processes = new Map<UpstreamId, ColdProcess>();

  static create(): ColdUpstreams {
    return new ColdUpstreams();
  }

  get size(): number {
    return this.#processes.size;
  }

  /** Records for how long a process stays cold; returns whether it is cold for longer than was known. */
  record(notice: ColdNotice, now: Timestamp): boolean {
    const { upstream, startedAt, coldMs } = notice;
    const known = this.#processes.get(upstream);
    if (known !== undefined && startedAt < known.startedAt) return false;
    const isKnown = known?.startedAt === startedAt && known.warmAt > now;
    const warmAt = addMs(now, Math.min(MAX_COLD_MS, coldMs));
    if (isKnown && warmAt <= known.warmAt) return false;
    this.#processes.delete(upstream);
    if (coldMs <= 0) return false;
    this.#processes.set(upstream, { startedAt, warmAt });
    evictOldest(this.#processes, MAX_UPSTREAMS);
    return !isKnown || warmAt - known.warmAt > SAME_TIME_MS;
  }

  /** Time until an upstream is warm; undefined if it is. */
  remainingMs(id: UpstreamId, now: Timestamp): Millis | undefined {
    const warmAt = this.#processes.get(id)?.warmAt;
    return warmAt === undefined || warmAt <= now ? undefined : warmAt - now;
  }

  /** The rates per second of the cold upstreams that have one. */
  rates(
    now: Timestamp,
    rateOf: (id: UpstreamId) => number | undefined,
  ): Map<UpstreamId, number> {
    const rates = new Map<UpstreamId, number>();
    for (const [id, { warmAt }] of this.#processes) {
      const rate = rateOf(id);
      if (warmAt <= now) this.#processes.delete(id);
      else if (rate !== undefined) rates.set(id, rate);
    }
    return rates;
  }

  /** The notices for another daemon; undefined for none. */
  notices(now: Timestamp): readonly ColdNotice[] | undefined {
    const notices: ColdNotice[] = [];
    for (const [upstream, { startedAt, warmAt }] of this.#processes) {
      const coldMs = Math.round(warmAt - now);
      if (coldMs > 0) notices.push({ upstream, startedAt, coldMs });
    }
    return notices.length === 0 ? undefined : notices;
  }
}
