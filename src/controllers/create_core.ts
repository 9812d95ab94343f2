import { createBlackboard } from "../board/blackboard.ts";
import type { Self } from "../board/self.ts";
import type { Controller } from "../core/controller.ts";
import { Core } from "../core/core.ts";
import type { Random } from "../core/random.ts";
import { ClaimController } from "./claim_controller.ts";
import { ConfigController } from "./config_controller.ts";
import { MembershipController } from "./membership_controller.ts";
import { PlacementController } from "./placement_controller.ts";
import { RequestController } from "./request_controller.ts";
import { UpstreamController } from "./upstream_controller.ts";

/** What differs from one daemon to another. */
export type CoreOptions = Readonly<{
  /** Replaces the usual placement, for measurements against another policy. */
  placement?: Controller;
  /** Signs the keys that daemons issue, the same on all daemons; without it a daemon makes one up for itself. */
  keySecret?: string;
}>;

/** Builds the decisions of one daemon; state that others read comes before its readers. */
export function createCore(
  self: Self,
  random: Random,
  options: CoreOptions = {},
): Core {
  return Core.create({
    board: createBlackboard(self),
    random,
    controllers: [
      MembershipController.create(),
      ConfigController.create(),
      UpstreamController.create(),
      options.placement ?? PlacementController.create(),
      ClaimController.create({
        keySecret: options.keySecret ?? random.uuid(self.startedAt),
      }),
      RequestController.create(),
    ],
  });
}
