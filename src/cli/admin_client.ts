import type { ResultAsync } from "neverthrow";
import type { AdminDrain, AdminStatus } from "../wire/admin.ts";

/** Why an admin call to a daemon failed. */
export type AdminError = Readonly<
  { code: "unreachable" | "refused" | "malformed"; detail: string }
>;

/** Admin calls to daemons; addresses are `host:port`. */
export abstract class AdminClient {
  /** Returns the daemon's status. */
  abstract status(address: string): ResultAsync<AdminStatus, AdminError>;
  /** Starts the daemon's shutdown; the call is idempotent. */
  abstract drain(address: string): ResultAsync<AdminDrain, AdminError>;
}
