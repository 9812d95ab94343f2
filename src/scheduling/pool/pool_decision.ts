import type { Result } from "neverthrow";
import type { Problem } from "../../core/problem.ts";
import type { Shortage } from "./admission/shortage.ts";
import type { EnginePace } from "./engine_pace.ts";
import type { PoolMember } from "./pool_grant.ts";
import type { PlacementRequest, PoolGrant } from "./pool_job.ts";
import type { ToldReturn } from "./returns/return_book.ts";
import type { RoomTerms } from "./room_terms.ts";

/** A placement request with the upstreams that may serve it. */
export type PoolSubmission = Readonly<{
  ask: PlacementRequest;
  members: readonly PoolMember[];
  /** Absent for plain services. */
  pace?: EnginePace;
}>;

/** The outcome of a placement request: a grant, or the reason for refusal. */
export type PoolDecision = Readonly<{
  ask: PlacementRequest;
  result: Result<PoolGrant, Problem>;
  /** Why a prompt is refused, if room is short. */
  shortage?: Shortage;
  /** Terms on which a prompt was decided. */
  terms?: RoomTerms;
  /** What the caller of a prompt that was refused for lack of room is told. */
  told?: ToldReturn;
}>;
