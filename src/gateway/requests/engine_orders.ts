import type { ResultAsync } from "neverthrow";
import type { Millis } from "../../core/time.ts";
import type { UpstreamAvailability } from "./upstream_availability.ts";

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

/** Receives what the engine at an address announced, and the time in ms since the call was sent. */
type AvailabilityListener = (
  address: string,
  availability: UpstreamAvailability,
  options: Readonly<{ elapsedMs: Millis }>,
) => void;

/** Client for the engines' orders, which reserve and release memory, and for their reports. */
export abstract class EngineOrders {
  #onAvailability: AvailabilityListener = () => {};
  #onSend: (address: string) => void = () => {};

  /** Sets the listener for the availability that engines announce in the headers of their responses. */
  onAvailability(listener: AvailabilityListener): void {
    this.#onAvailability = listener;
  }

  /** Sets the listener for the address of each call that is sent. */
  onSend(listener: (address: string) => void): void {
    this.#onSend = listener;
  }

  protected notifyAvailability(
    address: string,
    availability: UpstreamAvailability,
    options: Readonly<{ elapsedMs: Millis }>,
  ): void {
    this.#onAvailability(address, availability, options);
  }

  protected notifySend(address: string): void {
    this.#onSend(address);
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
