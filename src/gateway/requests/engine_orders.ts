import type { ResultAsync } from "neverthrow";
import type { Millis } from "../../core/time.ts";
import {
  limitsTraffic,
  type UpstreamAvailability,
} from "./upstream_availability.ts";

/** Memory to reserve on one engine, in tokens of KV cache, until `holdMs` after the last renewal. */
export type Reservation = Readonly<{
  address: string;
  ticket: string;
  tokens: number;
  holdMs: Millis;
}>;

/** Why memory was not reserved; after `unknown` the order may still take effect, `unreachable` means no connection. */
export type ReservationError = Readonly<{
  code: "refused" | "unknown" | "unreachable";
  detail: string;
}>;

/** Report of an engine about itself. */
export type EngineReport = Readonly<{
  /** Multiple of the engine's stated times that it currently takes; absent if the report is unreadable. */
  pace?: number;
  /** Unix time of its start in ms; absent if the report does not state it. */
  startedAt?: number;
}>;

/** Client for the engines' orders, which reserve and release memory, and for their reports. */
export abstract class EngineOrders {
  #listener: (address: string, availability: UpstreamAvailability) => void =
    () => {};

  /** Sets the listener for the availability that engines announce in the headers of their responses. */
  onAvailability(
    listener: (address: string, availability: UpstreamAvailability) => void,
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
  /** Fetches an engine's report; fails only if the engine does not respond. */
  abstract fetchReport(
    address: string,
  ): ResultAsync<EngineReport, ReservationError>;
  abstract release(
    address: string,
    ticket: string,
  ): ResultAsync<void, ReservationError>;
}
