import type { ServiceId } from "../../core/id.ts";
import type { Millis, Timestamp } from "../../core/time.ts";

/**
 * Limits of the retries that all daemons together may send to a service in a sliding window: `ratio` of the first sends
 * plus `slack`.
 */
export type RetryBudgetLimits = Readonly<{
  ratio: number;
  slack: number;
  windowMs: Millis;
}>;

/** Fraction of the limits that is used, as each daemon counts its share without the others' counts. */
const SAFETY_FACTOR = 0.7;
/** Time within which a new process discovers the other daemons: some heartbeats, or one read of the store. */
const PEER_DISCOVERY_MS: Millis = 3_000;
/** Retries beyond the ratio until the other daemons are known; the smallest slack allows two for each daemon. */
const PEER_DISCOVERY_RETRIES = 1;

/** Number of daemons that share the slack, and this one's uptime. */
type RetryBudgetShare = Readonly<{ daemons: number; ageMs: Millis }>;

type SendTimes = { firstSends: Timestamp[]; retries: Timestamp[] };

/** This daemon's share of the retries that each service may receive. */
export class RetryBudget {
  readonly #limits: RetryBudgetLimits;
  readonly #services = new Map<ServiceId, SendTimes>();

  private constructor(limits: RetryBudgetLimits) {
    this.#limits = limits;
  }

  static create(limits: RetryBudgetLimits): RetryBudget {
    return new RetryBudget(limits);
  }

  /** Records a request that is sent for the first time. */
  recordNew(service: ServiceId, now: Timestamp): void {
    this.#sendTimesOf(service, now).firstSends.push(now);
  }

  /**
   * Whether a retry is left in the budget, whose slack `daemons` daemons share. During its first window (`ageMs` is its
   * uptime), a process doesn't know how many retries its predecessor has sent nor, at first, how many other daemons
   * there are. It then uses only the fraction of the slack that a predecessor leaves unused.
   */
  hasLeft(
    service: ServiceId,
    now: Timestamp,
    options: RetryBudgetShare,
  ): boolean {
    const sent = this.#sendTimesOf(service, now);
    const { ratio, slack, windowMs } = this.#limits;
    const { daemons, ageMs } = options;
    const factor = ageMs < windowMs ? 1 - SAFETY_FACTOR : SAFETY_FACTOR;
    const slackShare = ageMs < PEER_DISCOVERY_MS
      ? PEER_DISCOVERY_RETRIES
      : factor * slack / Math.max(1, daemons);
    const allowed = SAFETY_FACTOR * ratio * sent.firstSends.length + slackShare;
    return sent.retries.length + 1 <= allowed;
  }

  /** Takes one retry from the budget; returns false if none is left. */
  trySpend(
    service: ServiceId,
    now: Timestamp,
    options: RetryBudgetShare,
  ): boolean {
    if (!this.hasLeft(service, now, options)) return false;
    this.#sendTimesOf(service, now).retries.push(now);
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
