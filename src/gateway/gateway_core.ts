import type { Timestamp } from "../core/time.ts";
import { AvailabilityController } from "./upstreams/availability_controller.ts";
import { ContentController } from "./contents/content_controller.ts";
import { createGatewayBoard, type GatewayBoard } from "./gateway_board.ts";
import { type GatewayController, GatewayStep } from "./gateway_controller.ts";
import type { GatewayEvent, GatewayIntent } from "./gateway_event.ts";
import { MembersController } from "./members/members_controller.ts";
import type { PeerCard } from "./peers/peer_message.ts";
import { PlacementController } from "./placement/placement_controller.ts";
import { RegisterController } from "./upstreams/register_controller.ts";
import { ServingController } from "./serving/serving_controller.ts";

/** What one step wants done, and when the next one is due. */
export type GatewayOutcome = Readonly<{
  intents: readonly GatewayIntent[];
  wakeAt: Timestamp;
}>;

/** All decisions of a daemon that are not about one exchange; it does no I/O and reads no clock. */
export class GatewayCore {
  readonly board: GatewayBoard;
  readonly #controllers: readonly GatewayController[];

  private constructor(board: GatewayBoard) {
    this.board = board;
    this.#controllers = [
      MembersController.create(),
      ServingController.create(),
      RegisterController.create(),
      AvailabilityController.create(),
      ContentController.create(),
      PlacementController.create(),
    ];
  }

  static create(card: PeerCard, seeds: readonly string[]): GatewayCore {
    return new GatewayCore(createGatewayBoard(card, seeds));
  }

  /** Applies what has happened; the same inputs always give the same intents. */
  step(now: Timestamp, events: readonly GatewayEvent[]): GatewayOutcome {
    const step = GatewayStep.create(now, events);
    for (const controller of this.#controllers) {
      controller.step(this.board, step);
    }
    return { intents: step.intents, wakeAt: step.wakeAt };
  }
}
