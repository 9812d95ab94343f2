import type { TeamId } from "../../core/id.ts";
import type { Millis, Timestamp } from "../../core/time.ts";
import type { PromptClass } from "./admission/room_shares.ts";
import type { PlacementRequest } from "./pool_job.ts";
import type { RoomTerms } from "./room_terms.ts";
import { DecayingMean } from "./decaying_mean.ts";
import { ReturnBook, type ToldReturn } from "./returns/return_book.ts";
import { TeamShares } from "./shares/team_shares.ts";

/** Time over which the size of short prompts is averaged; many come in it while room is short. */
const SIZE_WINDOW_MS: Millis = 3_000;

/** A prompt that asks for room, with the engine time that it takes. */
export type RoomDemand = Readonly<{
  ask: PlacementRequest;
  promptClass: PromptClass;
  engineMs: Millis;
  /** Time since its caller was first refused; 0 for a new caller. */
  waitedMs: Millis;
}>;

/** The room of one service's engines: the shares of teams in it, and what is booked for refused callers. */
export class ServiceRoom {
  /** Shares by class: a team's long prompts yield to those of others, not its short ones to theirs. */
  readonly shares: Readonly<Record<PromptClass, TeamShares>> = {
    short: TeamShares.create(),
    long: TeamShares.create(),
  };
  readonly returns = ReturnBook.create();
  readonly #sizes = DecayingMean.create(SIZE_WINDOW_MS);

  static create(): ServiceRoom {
    return new ServiceRoom();
  }

  /** Records a prompt that asks for room, and returns its terms. */
  request(demand: RoomDemand, now: Timestamp): RoomTerms {
    const { ask, promptClass, engineMs, waitedMs } = demand;
    const known = this.returns.known(ask, now);
    const isDue = known?.booked === true && known.came === "in_time";
    // Room is booked on what those leave who can still be in time.
    if (waitedMs < ask.targetMs) this.returns.recordDemand(engineMs, now);
    if (promptClass === "short") this.#sizes.add(ask.promptTokens, now);
    const factor = isDue ? 1 : this.shares[promptClass].factor(ask.team, now);
    const spareTokens = (1 - factor) * this.#sizes.mean;
    return { isDue, waitedMs, factor, spareTokens };
  }

  /** Records that a prompt was admitted; its team is charged when its job is tracked. */
  admit(ask: PlacementRequest, now: Timestamp): void {
    this.returns.admitted(ask, now);
  }

  /** The engines that each team kept busy lately. */
  busyEngines(now: Timestamp): ReadonlyMap<TeamId, number> {
    const busy = new Map<TeamId, number>();
    for (const shares of Object.values(this.shares)) {
      for (const [team, engines] of shares.busyEngines(now)) {
        busy.set(team, (busy.get(team) ?? 0) + engines);
      }
    }
    return busy;
  }

  /** Records a prompt that is refused for lack of room, and returns what its caller is told. */
  refuse(
    demand: RoomDemand & Readonly<{ engines: number; freeInMs: Millis }>,
    now: Timestamp,
  ): ToldReturn {
    const { ask, promptClass, engineMs } = demand;
    const shares = this.shares[promptClass];
    const mayBook = !shares.isOver(ask.team, now);
    const told = this.returns.tell({ ...demand, mayBook }, now);
    if (!told.isRepeat) shares.recordRefused(ask.team, engineMs, now);
    return told;
  }
}
