import type { ServiceId } from "../../core/id.ts";
import type { Millis, Timestamp } from "../../core/time.ts";
import { engineMsOfJob } from "./engine_time.ts";
import type { PoolJob } from "./pool_job.ts";
import type { Booking } from "./returns/return_book.ts";
import { SharedRoom } from "./shared_room.ts";
import type { RankedTeam } from "./shares/team_shares.ts";

/** What the configuration says of callers: their teams, and the shortest time limit of a stream. */
export type CallerTerms = Readonly<
  { teams: readonly RankedTeam[]; shortestTimeoutMs: Millis }
>;

/** A booking in the room of a service. */
export type ServiceBooking = Booking & Readonly<{ service: ServiceId }>;

/** The shared room of each service that has engines. */
export class SharedRooms {
  readonly #rooms = new Map<ServiceId, SharedRoom>();
  #terms: CallerTerms = { teams: [], shortestTimeoutMs: Infinity };

  static create(): SharedRooms {
    return new SharedRooms();
  }

  /** Sets the terms of the configuration in force, and removes the rooms of services that it has no more. */
  configure(terms: CallerTerms, services: ReadonlySet<ServiceId>): void {
    this.#terms = terms;
    for (const [service, room] of this.#rooms) {
      if (services.has(service)) this.#apply(room);
      else this.#rooms.delete(service);
    }
  }

  /** The room of a service, created if it has none yet. */
  of(service: ServiceId): SharedRoom {
    let room = this.#rooms.get(service);
    if (room === undefined) {
      room = SharedRoom.create();
      this.#apply(room);
      this.#rooms.set(service, room);
    }
    return room;
  }

  /** All rooms by service. */
  all(): ReadonlyMap<ServiceId, SharedRoom> {
    return this.#rooms;
  }

  /** Charges a placed job's team. */
  charge(job: PoolJob, now: Timestamp): void {
    if (job.kind !== "prompt") return;
    this.of(job.service).shares.charge(job.team, engineMsOfJob(job), now);
  }

  /** Returns the bookings since the last call. */
  takeUnsent(now: Timestamp): readonly ServiceBooking[] {
    return [...this.#rooms].flatMap(([service, { returns }]) =>
      returns.takeUnsent(now).map((booking) => ({ ...booking, service }))
    );
  }

  /** Adds a booking that another daemon made. */
  addBooking(
    booking: ServiceBooking,
    options: Readonly<{ engines: number; now: Timestamp }>,
  ): void {
    this.of(booking.service).returns.addBooking(booking, options);
  }

  #apply({ shares, returns }: SharedRoom): void {
    shares.setTeams(this.#terms.teams);
    returns.setShortestTimeout(this.#terms.shortestTimeoutMs);
  }
}
