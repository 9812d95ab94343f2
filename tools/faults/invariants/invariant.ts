import type { Fleet } from "../fleet.ts";

/** Says what is wrong, or nothing. */
export type Check = (fleet: Fleet) => string | undefined;

/** Something that must hold after each step, or once everything has settled. */
export type Invariant = Readonly<
  { name: string; when: "always" | "settled"; check: Check }
>;
