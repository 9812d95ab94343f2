import {
  type PlacementLimits,
  PlacementLimitsSchema,
} from "../config/placement_limits.ts";

/** Settings of the placement policy; a part of the configuration's limits. */
export type Policy = Readonly<PlacementLimits>;

/** The policy before any configuration is in force. */
export const DEFAULT_POLICY: Policy = PlacementLimitsSchema.parse({});
