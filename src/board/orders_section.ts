import type { DaemonId, FencingNumber, GroupId } from "../core/id.ts";

/** Lease to send orders to a group, by the records of the log. */
export type GroupLease = Readonly<{ holder: DaemonId; fencing: FencingNumber }>;

/** Leases on upstream groups; written by `OrderController`. */
export type OrdersSection = {
  leases: ReadonlyMap<GroupId, GroupLease>;
  /** Groups whose lease this daemon holds now. */
  held: readonly GroupId[];
};

/** State before any lease has been read. */
export function createOrdersSection(): OrdersSection {
  return { leases: new Map(), held: [] };
}
