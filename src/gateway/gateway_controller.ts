import type { Timestamp } from "../core/time.ts";
import type { GatewayBoard } from "./gateway_board.ts";
import type { GatewayEvent, GatewayIntent } from "./gateway_event.ts";

/** One step of the core: the events since the last step, and the intents that the controllers emit. */
export class GatewayStep {
  readonly now: Timestamp;
  readonly events: readonly GatewayEvent[];
  readonly intents: GatewayIntent[] = [];
  #wakeAt = Infinity;

  private constructor(now: Timestamp, events: readonly GatewayEvent[]) {
    this.now = now;
    this.events = events;
  }

  static create(
    now: Timestamp,
    events: readonly GatewayEvent[],
  ): GatewayStep {
    return new GatewayStep(now, events);
  }

  /** Time of the next step if no event arrives earlier; Infinity if none is due. */
  get wakeAt(): Timestamp {
    return this.#wakeAt as Timestamp;
  }

  /** Adds an intent, which the adapters perform after the step. */
  emit(intent: GatewayIntent): void {
    this.intents.push(intent);
  }

  /** Requests a step no later than `at`. */
  wake(at: number): void {
    this.#wakeAt = Math.min(this.#wakeAt, at);
  }

  /** Emits a log line. */
  line(
    kind: string,
    fields: Readonly<Record<string, string | number | boolean>>,
  ): void {
    this.emit({ type: "line", kind, fields });
  }
}

/** Makes the decisions of one area; each section of the board is written by one controller. */
export abstract class GatewayController {
  abstract step(board: GatewayBoard, step: GatewayStep): void;
}
