import type { ResultAsync } from "neverthrow";
import type { Millis } from "../../core/time.ts";
import {
  limitsTraffic,
  type UpstreamAvailability,
} from "./upstream_availability.ts";

/** Memory to be reserved on one engine. */
export type Reservation = Readonly<{
  address: string;
  ticket: string;
  tokens: number;
  holdMs: Millis;
}>;

/** Why memory was not reserved; after `unknown` it may be reserved later on, and `unreachable` took no connection. */
export type ReservationError = Readonly<{
  code: "refused" | "unknown" | "unreachable";
  detail: string;
}>;

/** What an engine says of itself. */
export type EngineReport = Readonly<{
  /** Times that it takes of what is stated; absent where the report can't be read. */
  pace?: number;
  /** Unix time in ms of its start; absent where the report does not tell. */
  startedAt?: number;
}>;

/** Orders that reserve and release memory of engines. */
export abstract class EngineOrders {
  #listener: (address: string, signs: UpstreamAvailability) => void = () => {};

  /** Names who is told what the engine at an address says of itself beside its answers. */
  onAvailability(
    listener: (address: string, signs: UpstreamAvailability) => void,
  ): void {
    this.#listener = listener;
  }

  protected notifyAvailability(
    address: string,
    availability: UpstreamAvailability,
  ): void {
    if (limitsTraffic(availability)) this.#listener(address, availability);
  }

  abstract reserve(
    reservation: Reservation,
  ): ResultAsync<void, ReservationError>;
  /** Asks an engine for its report; an error says that it does not answer at all. */
  abstract fetchReport(
    address: string,
  ): ResultAsync<EngineReport, ReservationError>;
  abstract release(
    address: string,
    ticket: string,
  ): ResultAsync<void, ReservationError>;
}
