import type { ResultAsync } from "neverthrow";
import type { Millis } from "../core/time.ts";

/** Memory to be reserved on one engine. */
export type Reservation = Readonly<{
  address: string;
  ticket: string;
  tokens: number;
  holdMs: Millis;
}>;

/** Why memory was not reserved; after `unknown` it may be reserved later on. */
export type ReservationError = Readonly<{
  code: "refused" | "unknown";
  detail: string;
}>;

/** Orders that reserve and release memory of engines. */
export abstract class EngineOrders {
  abstract reserve(one: Reservation): ResultAsync<void, ReservationError>;
  /** Whether an engine answers at all. */
  abstract isAlive(address: string): ResultAsync<void, ReservationError>;
  abstract release(
    address: string,
    ticket: string,
  ): ResultAsync<void, ReservationError>;
}
