import type { Blackboard } from "../board/blackboard.ts";
import type { StepContext } from "./step_context.ts";

/** One part of the decisions; it alone writes its section of the blackboard. */
export abstract class Controller {
  abstract readonly name: string;

  /** Takes the step's events and whatever the board says by now; does no I/O. */
  abstract step(board: Blackboard, ctx: StepContext): void;
}
