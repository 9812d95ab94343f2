import type { DaemonId, RequestId } from "../core/id.ts";
import type { Problem } from "../core/problem.ts";

/** What the log says about the key of a request that waits for its claim. */
export type ClaimResult =
  /** This request alone may run the call. */
  | Readonly<{ type: "held" }>
  /** The call has run; its recorded answer. */
  | Readonly<
    { type: "recorded"; status: number; body: string; contentType?: string }
  >
  /** Another live daemon issued the key; only that one may run the call. */
  | Readonly<{ type: "forward"; home: DaemonId }>
  | Readonly<{ type: "refused"; problem: Problem }>;

/** Claims on idempotency keys; written by `ClaimController`. */
export type ClaimsSection = {
  results: Map<RequestId, ClaimResult>;
  /** Whether the whole key window has been read. */
  caughtUp: boolean;
  /** Records that the log has not confirmed yet; a planned stop waits for them. */
  unconfirmed: number;
  /** Signs the keys that this daemon issues; nobody else knows it. */
  keySecret: string;
};

/** A daemon's view before it has read any claim. */
export function createClaimsSection(): ClaimsSection {
  return { results: new Map(), caughtUp: false, unconfirmed: 0, keySecret: "" };
}
