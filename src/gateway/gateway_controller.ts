import type { Timestamp } from "../core/time.ts";
import type { GatewayBoard } from "./gateway_board.ts";
import type { GatewayEvent, GatewayIntent } from "./gateway_event.ts";

/** One step of the core: what came in, and what the controllers want done. */
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

  /** Time of the next step, unless events come before. */
  get wakeAt(): Timestamp {
    return this.#wakeAt as Timestamp;
  }

  emit(intent: GatewayIntent): void {
    this.intents.push(intent);
  }

  /** Asks for a step at a time. */
  wake(at: number): void {
    this.#wakeAt = Math.min(this.#wakeAt, at);
  }

  line(
    kind: string,
    fields: Readonly<Record<string, string | number | boolean>>,
  ): void {
    this.emit({ type: "line", kind, fields });
  }
}

/** One part of a daemon's decisions; it alone writes its section of the board. */
export abstract class GatewayController {
  abstract step(board: GatewayBoard, step: GatewayStep): void;
}
