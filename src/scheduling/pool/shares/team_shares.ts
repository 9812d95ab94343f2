import { evictOldest } from "../../../core/evict_oldest.ts";
import type { TeamId } from "../../../core/id.ts";
import { type Millis, SECOND_MS, type Timestamp } from "../../../core/time.ts";
import { DemandMeter } from "../../demand_meter.ts";
import { fairShares } from "./fair_shares.ts";

/** Time over which shares are evened out: about the time in which a refused caller with a ten-second limit returns. */
const SHARE_WINDOW_MS: Millis = 3_000;
/** Time in which a shortage decays to 1/e after its last refusal: the longest time that a caller takes to connect. */
const SHORTAGE_DECAY_MS: Millis = SECOND_MS;
/** Time after its last refusal at which a shortage is over. */
const SHORTAGE_END_MS: Millis = 3 * SHORTAGE_DECAY_MS;
/** Age up to which computed shares are used; well under the target time of a short prompt. */
const SHARES_VALID_MS: Millis = 20;
/** Part of its share by which a team's use is below it when it begins to yield, and over it when it yields fully. */
const SHARE_TOLERANCE = 0.1;
/** Teams that are tracked at a time. */
const MAX_TEAMS = 1_024;
/** Weight of a rank against that of the rank before it. */
const WEIGHT_PER_RANK = 0.5;
/** Least weight: the pages count a team as starved that is served less than a quarter as often as all. */
const MIN_WEIGHT = 0.25;

/** A team of the configuration. Its priority rank, of which 0 is the highest, counts like the highest if it has none. */
export type RankedTeam = Readonly<{ id: TeamId; rank?: number }>;

/** A team's use of the engines, in engines that it keeps busy. */
type TeamUse = {
  readonly used: DemandMeter;
  readonly refused: DemandMeter;
  refusedAt: Timestamp;
  share: number;
};

/**
 * Tracks the engine time that each team uses and is refused, and tells which teams are over their share.
 * Load pattern: more work than room, with most of it from a few teams. While a team below its share is refused for lack
 * of room, teams above theirs yield; from such a refusal on they yield less and less, until the next one.
 */
export class TeamShares {
  readonly #uses = new Map<TeamId, TeamUse>();
  #weights: ReadonlyMap<TeamId, number> = new Map();
  /** When a team below its share was last refused. */
  #shortAt = -Infinity as Timestamp;
  #computedAt = -Infinity as Timestamp;

  static create(): TeamShares {
    return new TeamShares();
  }

  /** Sets the teams of the configuration; shares apply from two teams on. */
  setTeams(teams: readonly RankedTeam[]): void {
    const highest = Math.min(...teams.flatMap(({ rank }) => rank ?? []));
    this.#weights = new Map(teams.map(({ id, rank = highest }) => {
      const weight = rank === highest ? 1 : WEIGHT_PER_RANK ** (rank - highest);
      return [id, Math.max(MIN_WEIGHT, weight)];
    }));
    for (const id of this.#uses.keys()) {
      if (!this.#weights.has(id)) this.#uses.delete(id);
    }
  }

  /** Charges a team with the engine time of an admitted prompt. */
  charge(team: TeamId | undefined, engineMs: Millis, now: Timestamp): void {
    this.#useOf(team)?.used.add(engineMs, now);
  }

  /** Records a prompt that was refused for lack of room; not for one whose caller was refused before. */
  recordRefused(
    team: TeamId | undefined,
    engineMs: Millis,
    now: Timestamp,
  ): void {
    const use = this.#useOf(team);
    if (use === undefined) return;
    use.refused.add(engineMs, now);
    use.refusedAt = now;
  }

  /** How far a team's prompts yield to those of others, from 1 (not at all) to 0; under 1 near its share and over it. */
  factor(team: TeamId | undefined, now: Timestamp): number {
    const yielded = (this.#excess(team, now) + SHARE_TOLERANCE) /
      (2 * SHARE_TOLERANCE);
    return 1 - this.#shortage(now) * Math.min(1, Math.max(0, yielded));
  }

  /** Whether room is short and a team over its share. */
  isOver(team: TeamId | undefined, now: Timestamp): boolean {
    return this.#excess(team, now) > 0 && this.#shortage(now) > 0;
  }

  /** The engines that each team kept busy lately; teams that used none are left out. */
  busyEngines(now: Timestamp): ReadonlyMap<TeamId, number> {
    const busy = new Map<TeamId, number>();
    for (const [team, { used }] of this.#uses) {
      const engines = used.busyEngines(now);
      if (engines > 0) busy.set(team, engines);
    }
    return busy;
  }

  #useOf(team: TeamId | undefined): TeamUse | undefined {
    if (team === undefined || !this.#weights.has(team)) return undefined;
    const use = this.#uses.get(team) ?? {
      used: DemandMeter.create(SHARE_WINDOW_MS),
      refused: DemandMeter.create(SHARE_WINDOW_MS),
      refusedAt: -Infinity as Timestamp,
      share: Infinity,
    };
    this.#uses.delete(team);
    this.#uses.set(team, use);
    evictOldest(this.#uses, MAX_TEAMS);
    return use;
  }

  #allUsed(now: Timestamp): number {
    let sum = 0;
    for (const use of this.#uses.values()) sum += use.used.busyEngines(now);
    return sum;
  }

  /** By which part of its share a team's use is over it. */
  #excess(team: TeamId | undefined, now: Timestamp): number {
    const use = team === undefined ? undefined : this.#uses.get(team);
    if (use === undefined || this.#weights.size < 2) return -1;
    this.#compute(now);
    return use.used.busyEngines(now) / use.share - 1;
  }

  /** How short room is, from 0 to 1. */
  #shortage(now: Timestamp): number {
    const ageMs = now - this.#shortAt;
    return ageMs > SHORTAGE_END_MS ? 0 : Math.exp(-ageMs / SHORTAGE_DECAY_MS);
  }

  /** Computes the shares, and when a team below its own was last refused. */
  #compute(now: Timestamp): void {
    if (now - this.#computedAt < SHARES_VALID_MS) return;
    this.#computedAt = now;
    const entries = [...this.#uses];
    const shares = fairShares(
      entries.map(([id, { used, refused }]) => ({
        engines: used.busyEngines(now) + refused.busyEngines(now),
        weight: this.#weights.get(id)!,
      })),
      this.#allUsed(now),
    );
    entries.forEach(([, use], i) => {
      use.share = shares[i]!;
      const isBelow = use.used.busyEngines(now) < use.share;
      if (isBelow && use.refusedAt > this.#shortAt) {
        this.#shortAt = use.refusedAt;
      }
    });
  }
}
