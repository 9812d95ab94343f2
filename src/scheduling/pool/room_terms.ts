import type { Millis } from "../../core/time.ts";

/** On what terms a prompt is admitted while room is short. */
export type RoomTerms = Readonly<{
  /** Whether room is booked for its caller, who returned when told to. */
  isDue: boolean;
  /** Time since its caller was first refused; 0 for a new caller. */
  waitedMs: Millis;
  /** How far its team yields to others, from 1 (not at all) to 0. */
  factor: number;
  /** Tokens of another prompt for which it has to leave room on its engine: up to a usual short prompt. */
  spareTokens: number;
}>;

/** Terms of a prompt while room isn't short. */
export const USUAL_TERMS: RoomTerms = {
  isDue: false,
  waitedMs: 0,
  factor: 1,
  spareTokens: 0,
};
