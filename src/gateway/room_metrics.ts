import { Counter, Gauge, type Registry } from "prom-client";
import type { Timestamp } from "../core/time.ts";
import type { ServiceRooms } from "../scheduling/pool/service_rooms.ts";

/** Teams that have a time series; those that use most. */
const MAX_TEAMS = 32;

/** Metrics of the engines' room: what teams use of it, and what became of callers who were told to return. */
export class RoomMetrics {
  readonly #returns: Counter<"booked" | "came" | "outcome">;
  readonly #teamParts: Gauge<"team">;

  private constructor(registry: Registry) {
    const registers = [registry];
    this.#returns = new Counter({
      name: "parsleyfield_returns_total",
      help: "Returns of refused callers, by what they were told and got",
      labelNames: ["booked", "came", "outcome"],
      registers,
    });
    this.#teamParts = new Gauge({
      name: "parsleyfield_team_part",
      help: "Part of the engine time that a team used lately, as placed here",
      labelNames: ["team"],
      registers,
    });
  }

  static create(registry: Registry): RoomMetrics {
    return new RoomMetrics(registry);
  }

  update(rooms: ServiceRooms, now: Timestamp): void {
    this.#returns.reset();
    this.#teamParts.reset();
    for (const { returns } of rooms.all().values()) {
      for (const { booked, came, outcome, count } of returns.counts.all()) {
        this.#returns.inc({ booked: String(booked), came, outcome }, count);
      }
    }
    const parts = [...rooms.teamParts(now)].sort((a, b) => b[1] - a[1]);
    for (const [team, part] of parts.slice(0, MAX_TEAMS)) {
      this.#teamParts.set({ team }, part);
    }
  }
}
