import type { ServiceId } from "../../core/id.ts";
import type { Millis, Timestamp } from "../../core/time.ts";

/** How many repeats all daemons together may send to a service in a sliding window. */
export type BudgetTerms = Readonly<{
  ratio: number;
  slack: number;
  windowMs: Millis;
}>;

/** Part of the terms that is used, as daemons count their shares apart. */
const SAFETY = 0.7;
/** Time in which a process hears of the other daemons: some heartbeats, or one reading of the store. */
const ALONE_MS: Millis = 3_000;
/** Repeats beyond the ratio until then; the smallest slack has two for each daemon. */
const ALONE_REPEATS = 1;

type Counts = { firsts: Timestamp[]; repeats: Timestamp[] };

/** This daemon's share of the repeats that a service may get beyond the first arrival of each request. */
export class RepeatBudget {
  readonly #terms: BudgetTerms;
  readonly #services = new Map<ServiceId, Counts>();

  private constructor(terms: BudgetTerms) {
    this.#terms = terms;
  }

  static create(terms: BudgetTerms): RepeatBudget {
    return new RepeatBudget(terms);
  }

  /** Counts a request that is sent for the first time. */
  first(service: ServiceId, now: Timestamp): void {
    this.#counts(service, now).firsts.push(now);
  }

  /**
   * Takes one repeat, for `daemons` that share the slack; false if none is left. A process younger than the window
   * knows neither what the one before it has used nor, at first, the other daemons: it uses what the other one left.
   */
  spend(
    service: ServiceId,
    now: Timestamp,
    options: Readonly<{ daemons: number; ageMs: Millis }>,
  ): boolean {
    const counts = this.#counts(service, now);
    const { ratio, slack, windowMs } = this.#terms;
    const { daemons, ageMs } = options;
    const part = ageMs < windowMs ? 1 - SAFETY : SAFETY;
    const share = ageMs < ALONE_MS
      ? ALONE_REPEATS
      : part * slack / Math.max(1, daemons);
    const allowed = SAFETY * ratio * counts.firsts.length + share;
    if (counts.repeats.length + 1 > allowed) return false;
    counts.repeats.push(now);
    return true;
  }

  #counts(service: ServiceId, now: Timestamp): Counts {
    let counts = this.#services.get(service);
    if (counts === undefined) {
      counts = { firsts: [], repeats: [] };
      this.#services.set(service, counts);
    }
    const from = now - this.#terms.windowMs;
    for (const times of [counts.firsts, counts.repeats]) {
      while (times.length > 0 && times[0]! < from) times.shift();
    }
    return counts;
  }
}
