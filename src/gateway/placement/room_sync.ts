import type { VmId } from "../../core/id.ts";
import type { Timestamp } from "../../core/time.ts";
import type {
  CallerTerms,
  ServiceBooking,
} from "../../scheduling/pool/service_rooms.ts";
import type { GatewayBoard } from "../gateway_board.ts";
import type {
  ConfigVersion,
  ServingConfig,
} from "../serving/serving_config.ts";

/** Keeps the terms of the engines' room as the configuration and the leader state them. */
export class RoomSync {
  #version: ConfigVersion | undefined;

  static create(): RoomSync {
    return new RoomSync();
  }

  /** Applies a configuration that was not applied yet. */
  step(board: GatewayBoard): void {
    const { routes, version } = board.serving;
    if (routes === undefined || version === this.#version) return;
    this.#version = version;
    const services = new Set(routes.serving.services.keys());
    const terms = callerTermsOf(routes.serving);
    board.pool.scheduler.rooms.configure(terms, services);
  }
}

/** What a configuration says of the callers of engines. */
export function callerTermsOf(serving: ServingConfig): CallerTerms {
  const { routes, teams = [] } = serving;
  const timeouts = routes.filter((route) => route.kind === "stream")
    .map((route) => route.timeoutMs);
  return { teams, shortestTimeoutMs: Math.min(Infinity, ...timeouts) };
}

/** The bookings that the leader has made since its last heartbeat to its deputy; undefined to others. */
export function newBookings(
  board: GatewayBoard,
  to: VmId | undefined,
  now: Timestamp,
): readonly ServiceBooking[] | undefined {
  const { members, pool, self } = board;
  if (members.leader !== self.card.vm || to !== members.deputy) {
    return undefined;
  }
  const bookings = pool.scheduler.rooms.takeUnsent(now);
  return bookings.length === 0 ? undefined : bookings;
}

/** Adds the bookings that a leader has made. */
export function addBookings(
  board: GatewayBoard,
  bookings: readonly ServiceBooking[],
  now: Timestamp,
): void {
  for (const booking of bookings) {
    const engines = board.register.table.open(booking.service).length;
    board.pool.scheduler.rooms.addBooking(booking, { engines, now });
  }
}
