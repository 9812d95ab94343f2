import { type Limits, LimitsSchema } from "../config/limits.ts";
import type { Blackboard } from "./blackboard.ts";

const DEFAULT_LIMITS = LimitsSchema.parse({});

/** Returns the limits of the configuration in force, or the defaults until one has been read. */
export function limitsOf(board: Blackboard): Limits {
  return board.config.serving?.limits ?? DEFAULT_LIMITS;
}
