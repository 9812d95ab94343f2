import type { ResultAsync } from "neverthrow";
import type { AdminDrain, AdminStatus } from "../wire/admin.ts";

/** Why a daemon gave no answer to an operator. */
export type AdminError = Readonly<
  { code: "unreachable" | "refused" | "malformed"; detail: string }
>;

/** What operators ask of daemons. */
export abstract class AdminClient {
  /** Returns the daemon's own view. */
  abstract status(address: string): ResultAsync<AdminStatus, AdminError>;
  /** Starts the daemon's shutdown; asking again is harmless. */
  abstract drain(address: string): ResultAsync<AdminDrain, AdminError>;
}
