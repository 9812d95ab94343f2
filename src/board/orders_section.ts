import type { DaemonId, FencingNumber, GroupId } from "../core/id.ts";

/** Who gives orders to a group, as the log says. */
export type GroupLease = Readonly<{ holder: DaemonId; fencing: FencingNumber }>;

/** Leases on upstream groups; written by `OrderController`. */
export type OrdersSection = {
  leases: ReadonlyMap<GroupId, GroupLease>;
  /** Groups that this daemon may give orders to at the moment. */
  held: readonly GroupId[];
};

/** A daemon's view before it has read any lease. */
export function createOrdersSection(): OrdersSection {
  return { leases: new Map(), held: [] };
}
