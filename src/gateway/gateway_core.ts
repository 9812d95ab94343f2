import type { Timestamp } from "../core/time.ts";
import { AvailabilityController } from "./upstreams/availability_controller.ts";
import { ContentController } from "./contents/content_controller.ts";
import { createGatewayBoard, type GatewayBoard } from "./gateway_board.ts";
import { type GatewayController, GatewayStep } from "./gateway_controller.ts";
import type { GatewayEvent, GatewayIntent } from "./gateway_event.ts";
import { EraController } from "./store/era_controller.ts";
import { MembersController } from "./members/members_controller.ts";
import type { PeerCard } from "./peers/peer_message.ts";
import { PlacementController } from "./placement/placement_controller.ts";
import { RateController } from "./upstreams/rate_controller.ts";
import { RegisterController } from "./upstreams/register_controller.ts";
import { ServingController } from "./serving/serving_controller.ts";

/** The intents of one step, and the time of the next step (Infinity if none is due). */
export type GatewayOutcome = Readonly<{
  intents: readonly GatewayIntent[];
  wakeAt: Timestamp;
}>;

/** Makes all decisions of a daemon except those within a single exchange; does no I/O and reads no clock. */
export class GatewayCore {
  readonly board: GatewayBoard;
  readonly #controllers: readonly GatewayController[];

  private constructor(board: GatewayBoard) {
    this.board = board;
    this.#controllers = [
      EraController.create(),
      MembersController.create(),
      ServingController.create(),
      RegisterController.create(),
      AvailabilityController.create(),
      RateController.create(),
      ContentController.create(),
      PlacementController.create(),
    ];
  }

  static create(card: PeerCard, seeds: readonly string[]): GatewayCore {
    return new GatewayCore(createGatewayBoard(card, seeds));
  }

  /** Applies the events in order; deterministic, so that the same sequence of inputs gives the same intents. */
  step(now: Timestamp, events: readonly GatewayEvent[]): GatewayOutcome {
    const step = GatewayStep.create(now, events);
    for (const controller of this.#controllers) {
      controller.step(this.board, step);
    }
    return { intents: step.intents, wakeAt: step.wakeAt };
  }
}
