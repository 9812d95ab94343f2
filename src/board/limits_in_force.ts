import { type Limits, LimitsSchema } from "../config/limits.ts";
import type { Blackboard } from "./blackboard.ts";

const DEFAULT_LIMITS = LimitsSchema.parse({});

/** The limits in force; the defaults until a configuration has been read. */
export function limitsOf(board: Blackboard): Limits {
  return board.config.serving?.limits ?? DEFAULT_LIMITS;
}
