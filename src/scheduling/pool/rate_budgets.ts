import type { ServiceId, UpstreamId } from "../../core/id.ts";
import {
  addMs,
  type Millis,
  SECOND_MS,
  type Timestamp,
} from "../../core/time.ts";
import {
  PlacerBudget,
  type RateBudget,
  type RateShare,
  SoloBudget,
} from "./rate_budget.ts";

/** An upstream's rate per second, with the budget of this daemon. */
type Limited = { perSecond: number; budget: RateBudget };

const NO_SHARE: RateShare = { type: "placer", fraction: 1 };

/** Budgets for the upstreams that accept a limited rate; all others are open. */
export class RateBudgets {
  readonly #limited = new Map<UpstreamId, Limited>();
  /** Latest time that a refused caller of a service was told to return at. */
  readonly #lastRetryAt = new Map<ServiceId, Timestamp>();
  #share = NO_SHARE;

  static create(): RateBudgets {
    return new RateBudgets();
  }

  /** Number of upstreams with a limited rate. */
  get size(): number {
    return this.#limited.size;
  }

  /** Sets the rates per second of all limited upstreams, and this daemon's share; budgets keep what they have. */
  update(
    rates: ReadonlyMap<UpstreamId, number>,
    share: RateShare,
    now: Timestamp,
  ): void {
    const sameShare = isSameShare(this.#share, share);
    this.#share = share;
    for (const id of this.#limited.keys()) {
      if (!rates.has(id)) this.#limited.delete(id);
    }
    for (const [id, perSecond] of rates) {
      const known = this.#limited.get(id);
      if (known?.perSecond === perSecond && sameShare) continue;
      const budget = this.#createBudget(id, perSecond, {
        now,
        replaces: known?.budget,
      });
      this.#limited.set(id, { perSecond, budget });
    }
  }

  /** The part of each rate that this daemon may use. */
  get fraction(): number {
    return this.#share.type === "placer"
      ? this.#share.fraction
      : 1 / this.#share.daemons;
  }

  has(id: UpstreamId): boolean {
    return this.#limited.has(id);
  }

  isOpen(id: UpstreamId, now: Timestamp): boolean {
    return this.#limited.get(id)?.budget.isOpen(now) ?? true;
  }

  /** Charges messages to an upstream; without effect if its rate is not limited. */
  charge(id: UpstreamId, now: Timestamp, count = 1): void {
    this.#limited.get(id)?.budget.charge(now, count);
  }

  /** The members that a request may be sent to now. */
  open<T extends Readonly<{ id: UpstreamId }>>(
    members: readonly T[],
    now: Timestamp,
  ): readonly T[] {
    if (this.#limited.size === 0) return members;
    return members.filter(({ id }) => this.isOpen(id, now));
  }

  /**
   * The members for a prompt that may be split over several engines: those without a limit or, if there are none, a
   * single open one, since the parts and reservations of a split prompt are messages too.
   */
  openForSplit<T extends Readonly<{ id: UpstreamId }>>(
    members: readonly T[],
    now: Timestamp,
  ): readonly T[] {
    if (this.#limited.size === 0) return members;
    const unlimited = members.filter(({ id }) => !this.has(id));
    if (unlimited.length > 0) return unlimited;
    return this.open(members, now).slice(0, 1);
  }

  /**
   * Retry-After of a caller that finds no open member, which spreads the callers over the times with a free request.
   * Callers that can't return within `leftMs` take no such time from others.
   */
  nextRetryMs(
    members: readonly Readonly<{ id: UpstreamId }>[],
    caller: Readonly<{ service: ServiceId; leftMs: Millis; now: Timestamp }>,
  ): Millis {
    const { service, leftMs, now } = caller;
    let perSecond = 0;
    let opensInMs = Infinity;
    for (const { id } of members) {
      const limited = this.#limited.get(id);
      if (limited === undefined) continue;
      perSecond += limited.perSecond * this.fraction;
      opensInMs = Math.min(opensInMs, limited.budget.opensInMs(now));
    }
    if (perSecond === 0) return 0;
    const last = this.#lastRetryAt.get(service) ?? -Infinity;
    const retryAt = Math.max(now + opensInMs, last + SECOND_MS / perSecond);
    if (retryAt <= now + leftMs) {
      this.#lastRetryAt.set(service, retryAt as Timestamp);
    }
    return Math.ceil(addMs(retryAt as Timestamp, -now));
  }

  #createBudget(
    id: UpstreamId,
    perSecond: number,
    options: Readonly<{ now: Timestamp; replaces?: RateBudget }>,
  ): RateBudget {
    const share = this.#share;
    if (share.type === "solo") {
      const { daemons, self } = share;
      return SoloBudget.create(perSecond, { daemons, key: `${self}/${id}` });
    }
    return PlacerBudget.create(perSecond * share.fraction, options);
  }
}

function isSameShare(a: RateShare, b: RateShare): boolean {
  if (a.type === "solo") {
    return b.type === "solo" && a.daemons === b.daemons;
  }
  return b.type === "placer" && a.fraction === b.fraction;
}
