import type { DaemonId, RequestId } from "../core/id.ts";
import type { Problem } from "../core/problem.ts";

/** Result of claiming the idempotency key of a request, by the records of the log. */
export type ClaimResult =
  /** The request holds the claim; no other may run the call. */
  | Readonly<{ type: "held" }>
  /** The call has already run; contains its recorded answer. */
  | Readonly<
    { type: "recorded"; status: number; body: string; contentType?: string }
  >
  /** Another live daemon issued the key, and only that daemon may run the call. */
  | Readonly<{ type: "forward"; home: DaemonId }>
  | Readonly<{ type: "refused"; problem: Problem }>;

/** Claims on idempotency keys; written by `ClaimController`. */
export type ClaimsSection = {
  results: Map<RequestId, ClaimResult>;
  /** Whether the whole key window has been read. */
  caughtUp: boolean;
  /** Number of records that the log has not confirmed; a planned shutdown waits for them. */
  unconfirmed: number;
  /** Secret that signs the keys that this daemon issues; never leaves the daemon. */
  keySecret: string;
};

/** State before any claim has been read. */
export function createClaimsSection(): ClaimsSection {
  return { results: new Map(), caughtUp: false, unconfirmed: 0, keySecret: "" };
}
