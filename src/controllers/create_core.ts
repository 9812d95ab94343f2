import { createBlackboard } from "../board/blackboard.ts";
import type { Self } from "../board/self.ts";
import type { Controller } from "../core/controller.ts";
import { Core } from "../core/core.ts";
import type { Random } from "../core/random.ts";
import { ClaimController } from "./claim_controller.ts";
import { ConfigController } from "./config_controller.ts";
import { KeyController } from "./key_controller.ts";
import { MembershipController } from "./membership_controller.ts";
import { OrderController } from "./order_controller.ts";
import { PlacementController } from "./placement_controller.ts";
import { PlanController } from "./plan_controller.ts";
import { QuarantineController } from "./quarantine_controller.ts";
import { RecordController } from "./record_controller.ts";
import { RequestController } from "./request_controller.ts";
import { UpstreamController } from "./upstream_controller.ts";

/** Dependencies of a core. */
export type CoreOptions = Readonly<{
  /** Replaces the default placement controller, to compare placement policies. */
  placement?: Controller;
  /** Returns a secret of at least 32 unpredictable characters. */
  createSecret: () => string;
}>;

/** Builds the decision core of one daemon; a controller that writes state runs before those that read it. */
export function createCore(
  self: Self,
  random: Random,
  options: CoreOptions,
): Core {
  return Core.create({
    board: createBlackboard(self),
    random,
    controllers: [
      MembershipController.create(),
      ConfigController.create(),
      KeyController.create(options.createSecret),
      UpstreamController.create(),
      QuarantineController.create(),
      options.placement ?? PlacementController.create(),
      PlanController.create(),
      ClaimController.create({ keySecret: options.createSecret() }),
      RequestController.create(),
      RecordController.create(),
      OrderController.create(),
    ],
  });
}
