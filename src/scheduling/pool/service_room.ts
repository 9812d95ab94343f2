import type { Millis, Timestamp } from "../../core/time.ts";
import type { PlacementRequest } from "./pool_job.ts";
import { ReturnBook, type ToldReturn } from "./returns/return_book.ts";
import { TeamShares } from "./shares/team_shares.ts";

/**
 * How a prompt stands against others: `due` returned when it was told to and has room booked, `late` was refused before
 * and can't be served in time any more.
 */
export type Standing = "new" | "due" | "late";

/** On what terms a prompt is admitted. */
export type RoomTerms = Readonly<{
  standing: Standing;
  /** Part of the usual wait up to which it is admitted; under 1 if its team is over its share. */
  factor: number;
}>;

/** The waits up to which a prompt may be admitted, each longer than the one before. */
export type WaitLimits = Readonly<{
  /** On an engine without other work. */
  idleMs: Millis;
  /** Shortest limit for a prompt that can be in time. */
  leastMs: Millis;
  /** While room isn't short. */
  usualMs: Millis;
  /** The caller's time-out. */
  timeoutMs: Millis;
}>;

/**
 * The longest predicted time to the first event with which a prompt is admitted.
 * Load pattern: more work than room. Callers for whom room is booked are late and wait for it up to their time-out;
 * others who are late take only what is idle; teams over their share leave the longer waits to the other teams.
 */
export function waitLimitMs(terms: RoomTerms, limits: WaitLimits): Millis {
  const { idleMs, leastMs, usualMs, timeoutMs } = limits;
  if (terms.standing === "due") return timeoutMs;
  if (terms.standing === "late") return Math.min(idleMs, usualMs);
  return Math.min(usualMs, Math.max(leastMs, usualMs * terms.factor));
}

/** A prompt that asks for room, with the engine time that it takes. */
export type RoomDemand = Readonly<{ ask: PlacementRequest; engineMs: Millis }>;

/** The room of one service's engines: the shares of teams in it, and what is booked for refused callers. */
export class ServiceRoom {
  readonly shares = TeamShares.create();
  readonly returns = ReturnBook.create();

  static create(): ServiceRoom {
    return new ServiceRoom();
  }

  /** Records a prompt that asks for room, and returns its terms. */
  request(demand: RoomDemand, now: Timestamp): RoomTerms {
    const { ask, engineMs } = demand;
    const known = this.returns.known(ask.digest, now);
    const factor = this.shares.factor(ask.team, now);
    if (known?.booked === true && known.came === "in_time") {
      return { standing: "due", factor };
    }
    if (known !== undefined && known.waitedMs >= ask.targetMs) {
      return { standing: "late", factor };
    }
    this.returns.recordDemand(engineMs, now);
    return { standing: "new", factor };
  }

  /** Records that a prompt was admitted; its team is charged when its job is tracked. */
  admit(ask: PlacementRequest, now: Timestamp): void {
    this.returns.admitted(ask.digest, now);
  }

  /** Records a prompt that is refused for lack of room, and returns what its caller is told. */
  refuse(
    demand: RoomDemand & Readonly<{ engines: number; freeInMs: Millis }>,
    now: Timestamp,
  ): ToldReturn {
    const { ask, engineMs } = demand;
    const mayBook = !this.shares.isOver(ask.team, now);
    const told = this.returns.tell({ ...demand, mayBook }, now);
    if (!told.isRepeat) this.shares.recordRefused(ask.team, engineMs, now);
    return told;
  }
}
