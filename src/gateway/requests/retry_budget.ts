import type { ServiceId } from "../../core/id.ts";
import type { Millis, Timestamp } from "../../core/time.ts";

/** How many repeats all daemons together may send to a service in a sliding window. */
export type RetryBudgetLimits = Readonly<{
  ratio: number;
  slack: number;
  windowMs: Millis;
}>;

/** Part of the terms that is used, as daemons count their shares apart. */
const SAFETY_FACTOR = 0.7;
/** Time in which a process hears of the other daemons: some heartbeats, or one reading of the store. */
const PEER_DISCOVERY_MS: Millis = 3_000;
/** Repeats beyond the ratio until then; the smallest slack has two for each daemon. */
const PEER_DISCOVERY_RETRIES = 1;

type SendTimes = { firstSends: Timestamp[]; retries: Timestamp[] };

/** This daemon's share of the repeats that a service may get beyond the first arrival of each request. */
export class RetryBudget {
  readonly #limits: RetryBudgetLimits;
  readonly #services = new Map<ServiceId, SendTimes>();

  private constructor(limits: RetryBudgetLimits) {
    this.#limits = limits;
  }

  static create(limits: RetryBudgetLimits): RetryBudget {
    return new RetryBudget(limits);
  }

  /** Counts a request that is sent for the first time. */
  addRequest(service: ServiceId, now: Timestamp): void {
    this.#sendTimesOf(service, now).firstSends.push(now);
  }

  /**
   * Takes one repeat, for `daemons` that share the slack; false if none is left. A process younger than the window
   * knows neither what the one before it has used nor, at first, the other daemons: it uses what the other one left.
   */
  trySpend(
    service: ServiceId,
    now: Timestamp,
    options: Readonly<{ daemons: number; ageMs: Millis }>,
  ): boolean {
    const sent = this.#sendTimesOf(service, now);
    const { ratio, slack, windowMs } = this.#limits;
    const { daemons, ageMs } = options;
    const factor = ageMs < windowMs ? 1 - SAFETY_FACTOR : SAFETY_FACTOR;
    const slackShare = ageMs < PEER_DISCOVERY_MS
      ? PEER_DISCOVERY_RETRIES
      : factor * slack / Math.max(1, daemons);
    const allowed = SAFETY_FACTOR * ratio * sent.firstSends.length + slackShare;
    if (sent.retries.length + 1 > allowed) return false;
    sent.retries.push(now);
    return true;
  }

  #sendTimesOf(service: ServiceId, now: Timestamp): SendTimes {
    let sent = this.#services.get(service);
    if (sent === undefined) {
      sent = { firstSends: [], retries: [] };
      this.#services.set(service, sent);
    }
    const from = now - this.#limits.windowMs;
    for (const times of [sent.firstSends, sent.retries]) {
      while (times.length > 0 && times[0]! < from) times.shift();
    }
    return sent;
  }
}
