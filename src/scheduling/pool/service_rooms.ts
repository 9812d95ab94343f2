import type { ServiceId, TeamId } from "../../core/id.ts";
import type { Millis, Timestamp } from "../../core/time.ts";
import { classOf, engineMsOfJob, prefillMsOfJob } from "./engine_time.ts";
import type { PoolJob } from "./pool_job.ts";
import type { Booking } from "./returns/return_book.ts";
import { ServiceRoom } from "./service_room.ts";
import type { RankedTeam } from "./shares/team_shares.ts";

/** What the configuration says of callers: their teams, and the shortest time limit of a stream. */
export type CallerTerms = Readonly<
  { teams: readonly RankedTeam[]; shortestTimeoutMs: Millis }
>;

/** A booking in the room of a service. */
export type ServiceBooking = Booking & Readonly<{ service: ServiceId }>;

/** The room of each service that has engines. */
export class ServiceRooms {
  readonly #rooms = new Map<ServiceId, ServiceRoom>();
  #terms: CallerTerms = { teams: [], shortestTimeoutMs: Infinity };

  static create(): ServiceRooms {
    return new ServiceRooms();
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
  of(service: ServiceId): ServiceRoom {
    let room = this.#rooms.get(service);
    if (room === undefined) {
      room = ServiceRoom.create();
      this.#apply(room);
      this.#rooms.set(service, room);
    }
    return room;
  }

  /** All rooms by service. */
  all(): ReadonlyMap<ServiceId, ServiceRoom> {
    return this.#rooms;
  }

  /** The part of all engine time used lately that each team used. */
  teamParts(now: Timestamp): ReadonlyMap<TeamId, number> {
    const used = new Map<TeamId, number>();
    let sum = 0;
    for (const room of this.#rooms.values()) {
      for (const [team, engines] of room.busyEngines(now)) {
        used.set(team, (used.get(team) ?? 0) + engines);
        sum += engines;
      }
    }
    return new Map([...used].map(([team, engines]) => [team, engines / sum]));
  }

  /** Charges a placed job's team. */
  charge(job: PoolJob, now: Timestamp): void {
    if (job.kind !== "prompt") return;
    const shares = this.of(job.service).shares[classOf(prefillMsOfJob(job))];
    shares.charge(job.team, engineMsOfJob(job), now);
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

  #apply({ shares, returns }: ServiceRoom): void {
    shares.short.setTeams(this.#terms.teams);
    shares.long.setTeams(this.#terms.teams);
    returns.setShortestTimeout(this.#terms.shortestTimeoutMs);
  }
}
