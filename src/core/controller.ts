import type { Blackboard } from "../board/blackboard.ts";
import type { StepContext } from "./step_context.ts";

/** Decides one aspect of the daemon; the only writer of its section of the blackboard. */
export abstract class Controller {
  abstract readonly name: string;

  /** Handles the step's events on the current state of the board; does no I/O. */
  abstract step(board: Blackboard, ctx: StepContext): void;
}
