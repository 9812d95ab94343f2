import type { TeamId } from "../core/id.ts";
import type { Millis, Timestamp } from "../core/time.ts";

/** Time in which past work loses all but 1/e of its weight. */
const MEMORY_MS: Millis = 120_000;
const MAX_TEAMS = 1_024;

type Account = { costMs: number; at: Timestamp };

/** Decayed work of each team, and what it comes to against the team's share. */
export class TeamLedger {
  readonly #accounts = new Map<TeamId, Account>();

  private constructor() {}

  static create(): TeamLedger {
    return new TeamLedger();
  }

  /** Adds work that a team was given at `now`. */
  charge(team: TeamId, costMs: Millis, now: Timestamp): void {
    const costSoFar = this.costMs(team, now);
    this.#accounts.delete(team);
    this.#accounts.set(team, { costMs: costSoFar + costMs, at: now });
    const oldest = this.#accounts.keys().next().value;
    if (this.#accounts.size > MAX_TEAMS && oldest !== undefined) {
      this.#accounts.delete(oldest);
    }
  }

  /** Decayed work of a team, in milliseconds of engine time. */
  costMs(team: TeamId, now: Timestamp): Millis {
    const account = this.#accounts.get(team);
    if (account === undefined) return 0;
    return account.costMs * Math.exp((account.at - now) / MEMORY_MS);
  }

  /** Teams with work that still counts. */
  teams(): Iterable<TeamId> {
    return this.#accounts.keys();
  }
}
