import { z } from "zod";
import type { UpstreamId } from "../../core/id.ts";
import { addMs, type Millis, type Timestamp } from "../../core/time.ts";
import { millisSchema, unixMsSchema } from "../../wire/bounds.ts";
import { idSchema } from "../../wire/brands.ts";

/** More than the largest deployment has. */
const MAX_UPSTREAMS = 1_024;
/** Rates from here on are no limit: no deployment sends that much to one upstream. */
const UNLIMITED_PER_SECOND = 100_000;
/** Lowest rate that is applied, so that a response can show that the limit has ended, also after a rate of 0. */
const MIN_PER_SECOND = 0.2;
/** Time for which an ended limit is kept, so that older notices of other daemons don't restore it. */
const STATE_TTL_MS: Millis = 30_000;
/** Most notices in one message. */
const MAX_NOTICES = 256;

/** What a daemon knows of the rate that a process of an upstream has named. */
export const RateNoticeSchema = z.object({
  upstream: idSchema<UpstreamId>(),
  /** Unix time in ms of the process's start. */
  startedAt: unixMsSchema,
  perSecond: z.number().positive().transform((rate) =>
    Math.min(UNLIMITED_PER_SECOND, Math.max(MIN_PER_SECOND, rate))
  ),
  /** Time in ms since a response last named the rate. */
  namedAgeMs: millisSchema,
  /** Time in ms since the latest request was sent whose response named none; absent if there was none. */
  endedAgeMs: millisSchema.optional(),
}).readonly();
/** What a daemon knows of the rate that a process of an upstream has named. */
export type RateNotice = z.infer<typeof RateNoticeSchema>;

/** An upstream's rate, and since when it is known. */
export type NamedRate = Readonly<{ perSecond: number; namedAt: Timestamp }>;

type State = {
  readonly startedAt: number;
  perSecond: number;
  namedAt: Timestamp;
  /** When the latest request was sent whose response named no rate. */
  endedAt: Timestamp;
};

const NEVER = -Infinity as Timestamp;

/**
 * Rates per second that upstreams accept from all daemons together. A rate applies to one process of an upstream, from
 * the first response that names it until a request that was sent after the last such response gets one without it.
 */
export class NamedRates {
  readonly #states = new Map<UpstreamId, State>();

  static create(): NamedRates {
    return new NamedRates();
  }

  /** Number of upstreams with a rate, ended ones that are still kept included. */
  get size(): number {
    return this.#states.size;
  }

  /** Records a response that names a rate; returns whether the rate that applies has changed. */
  recordNamed(
    id: UpstreamId,
    startedAt: number,
    named: Readonly<{ perSecond: number; at: Timestamp }>,
  ): boolean {
    const { perSecond, at } = named;
    if (perSecond >= UNLIMITED_PER_SECOND) {
      return this.recordUnnamed(id, startedAt, at);
    }
    return this.#merge(id, {
      startedAt,
      perSecond: Math.max(MIN_PER_SECOND, perSecond),
      namedAt: at,
      endedAt: NEVER,
    });
  }

  /** Records a response without a rate to a request that was sent at `sentAt`; returns whether this ended a limit. */
  recordUnnamed(id: UpstreamId, startedAt: number, sentAt: Timestamp): boolean {
    const state = this.#states.get(id);
    if (state === undefined || state.startedAt !== startedAt) return false;
    return this.#merge(id, { ...state, endedAt: sentAt });
  }

  /** Merges the notices of another daemon; returns the upstreams whose rate has changed. */
  mergeNotices(
    notices: readonly RateNotice[],
    now: Timestamp,
  ): readonly UpstreamId[] {
    return notices.flatMap((notice) => {
      const { upstream, startedAt, perSecond, namedAgeMs, endedAgeMs } = notice;
      const changed = this.#merge(upstream, {
        startedAt,
        perSecond,
        namedAt: addMs(now, -namedAgeMs),
        endedAt: endedAgeMs === undefined ? NEVER : addMs(now, -endedAgeMs),
      });
      return changed ? [upstream] : [];
    });
  }

  /** The rate that applies to an upstream; undefined for none. */
  get(id: UpstreamId): NamedRate | undefined {
    const state = this.#states.get(id);
    return state !== undefined && isLimited(state) ? state : undefined;
  }

  /** The rates that apply, per second. */
  rates(): ReadonlyMap<UpstreamId, number> {
    const rates = new Map<UpstreamId, number>();
    for (const [id, state] of this.#states) {
      if (isLimited(state)) rates.set(id, state.perSecond);
    }
    return rates;
  }

  /** The notices for another daemon; undefined for none. */
  notices(now: Timestamp): readonly RateNotice[] | undefined {
    if (this.#states.size === 0) return undefined;
    return [...this.#states].slice(0, MAX_NOTICES)
      .map(([id, state]) => noticeOf(id, state, now));
  }

  /** The notices of the rates that apply. */
  limitNotices(now: Timestamp): readonly RateNotice[] {
    if (this.#states.size === 0) return [];
    return [...this.#states].filter(([, state]) => isLimited(state))
      .map(([id, state]) => noticeOf(id, state, now));
  }

  /** Removes the states of replaced and removed upstreams, and of limits that ended long ago. */
  prune(
    register: Readonly<{
      startedAt: (id: UpstreamId) => number;
      isGone: (id: UpstreamId) => boolean;
    }>,
    now: Timestamp,
  ): void {
    for (const [id, state] of this.#states) {
      // A removed entry may only have lapsed, and be listed again.
      const isOld = now - latest(state.namedAt, state.endedAt) > STATE_TTL_MS;
      const isReplaced = register.startedAt(id) > state.startedAt;
      const isUnused = register.isGone(id) || !isLimited(state);
      if (isReplaced || (isOld && isUnused)) this.#states.delete(id);
    }
  }

  #merge(id: UpstreamId, update: State): boolean {
    const known = this.#states.get(id);
    if (known !== undefined && known.startedAt > update.startedAt) return false;
    const before = this.get(id)?.perSecond;
    if (known === undefined || known.startedAt < update.startedAt) {
      this.#states.delete(id);
      this.#states.set(id, { ...update });
      const [oldest] = this.#states.keys();
      if (this.#states.size > MAX_UPSTREAMS) this.#states.delete(oldest!);
    } else {
      if (update.namedAt >= known.namedAt) known.perSecond = update.perSecond;
      known.namedAt = latest(known.namedAt, update.namedAt);
      known.endedAt = latest(known.endedAt, update.endedAt);
    }
    return this.get(id)?.perSecond !== before;
  }
}

function noticeOf(
  upstream: UpstreamId,
  state: State,
  now: Timestamp,
): RateNotice {
  const { startedAt, perSecond, namedAt, endedAt } = state;
  return {
    upstream,
    startedAt,
    perSecond,
    namedAgeMs: Math.round(now - namedAt),
    ...(endedAt === NEVER ? {} : { endedAgeMs: Math.round(now - endedAt) }),
  };
}

function isLimited(state: State): boolean {
  return state.namedAt > state.endedAt;
}

function latest(a: Timestamp, b: Timestamp): Timestamp {
  return a > b ? a : b;
}
