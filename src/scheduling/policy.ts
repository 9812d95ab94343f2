import {
  type PlacementLimits,
  PlacementLimitsSchema,
} from "../config/placement_limits.ts";

/** Settings of prompt placement, from the section `[limits]` of the configuration. */
export type Policy = Readonly<PlacementLimits>;

/** Policy in use until a configuration has been read. */
export const DEFAULT_POLICY: Policy = PlacementLimitsSchema.parse({});
