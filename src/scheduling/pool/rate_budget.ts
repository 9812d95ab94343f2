import { fnv1aHash } from "../../core/fnv1a.ts";
import {
  addMs,
  type Millis,
  SECOND_MS,
  type Timestamp,
} from "../../core/time.ts";

/** Part of an upstream's rate that may accumulate while unused, in seconds of that rate. */
const BURST_S = 0.25;
/** Deepest debt of a budget, in seconds of its rate: charges of other daemons may arrive in a bunch. */
const MAX_DEBT_S = 4;

/** Which part of the upstreams' rates this daemon may use. */
export type RateShare =
  /** This daemon places the requests of others; `fraction` is the part of all daemons that it can reach. */
  | Readonly<{ type: "placer"; fraction: number }>
  /** This daemon places only its own requests, beside an unknown number of the others that do the same. */
  | Readonly<{ type: "solo"; daemons: number; self: string }>;

/** The requests that one daemon may send to an upstream that accepts a limited rate from all daemons together. */
export abstract class RateBudget {
  /** Whether a request may be sent now. */
  abstract isOpen(now: Timestamp): boolean;
  /** Charges messages that were sent, by this daemon or by others. */
  abstract charge(now: Timestamp, count: number): void;
  /** Time until a request may be sent. */
  abstract opensInMs(now: Timestamp): Millis;
}

/** Token bucket of a daemon that places for others. */
export class PlacerBudget extends RateBudget {
  readonly #perSecond: number;
  #tokens: number;
  #updatedAt: Timestamp;

  private constructor(perSecond: number, tokens: number, now: Timestamp) {
    super();
    this.#perSecond = perSecond;
    this.#tokens = tokens;
    this.#updatedAt = now;
  }

  /** Starts with what is left of a placer's budget that it replaces; else empty, as others may have used the rate. */
  static create(
    perSecond: number,
    options: Readonly<{ now: Timestamp; replaces?: RateBudget }>,
  ): PlacerBudget {
    const { now, replaces } = options;
    const tokens = replaces instanceof PlacerBudget
      ? replaces.#tokensAt(now)
      : 0;
    return new PlacerBudget(perSecond, tokens, now);
  }

  override isOpen(now: Timestamp): boolean {
    return this.#tokensAt(now) >= 1;
  }

  override charge(now: Timestamp, count: number): void {
    const floor = -1 - MAX_DEBT_S * this.#perSecond;
    this.#tokens = Math.max(floor, this.#tokensAt(now) - count);
    this.#updatedAt = now;
  }

  override opensInMs(now: Timestamp): Millis {
    const missing = Math.max(0, 1 - this.#tokensAt(now));
    return missing / this.#perSecond * SECOND_MS;
  }

  #tokensAt(now: Timestamp): number {
    const elapsedS = Math.max(0, now - this.#updatedAt) / SECOND_MS;
    const capacity = 1 + this.#perSecond * BURST_S;
    return Math.min(capacity, this.#tokens + elapsedS * this.#perSecond);
  }
}

/**
 * One request in each period, in a time slot that every daemon draws for itself.
 * Load pattern: many daemons that can't reach each other. Budgets that accumulate would all be full when the cut
 * begins; slots that lapse unused keep the sum near the rate without a message between them.
 */
export class SoloBudget extends RateBudget {
  readonly #key: string;
  readonly #slotMs: Millis;
  readonly #periodMs: Millis;
  /** Start of the slot that was used last. */
  #usedSlot = -Infinity;

  private constructor(key: string, slotMs: Millis, daemons: number) {
    super();
    this.#key = key;
    this.#slotMs = slotMs;
    this.#periodMs = slotMs * daemons;
  }

  /** `key` differs between daemons and upstreams. */
  static create(
    perSecond: number,
    options: Readonly<{ daemons: number; key: string }>,
  ): SoloBudget {
    const slotMs = SECOND_MS / perSecond;
    return new SoloBudget(options.key, slotMs, Math.max(1, options.daemons));
  }

  override isOpen(now: Timestamp): boolean {
    return this.opensInMs(now) === 0;
  }

  override charge(now: Timestamp): void {
    this.#usedSlot = this.#slotStart(this.#periodOf(now));
  }

  override opensInMs(now: Timestamp): Millis {
    const period = this.#periodOf(now);
    const start = this.#slotStart(period);
    const isOver = start === this.#usedSlot || now >= start + this.#slotMs;
    const next = isOver ? this.#slotStart(period + 1) : start;
    return Math.max(0, next - now);
  }

  #periodOf(now: Timestamp): number {
    return Math.floor(now / this.#periodMs);
  }

  #slotStart(period: number): Timestamp {
    const fraction = fnv1aHash(`${this.#key}/${period}`) / 2 ** 32;
    return addMs(
      period * this.#periodMs as Timestamp,
      fraction * (this.#periodMs - this.#slotMs),
    );
  }
}
