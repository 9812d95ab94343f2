import type { Millis } from "../core/time.ts";
import type { PeerCard } from "./peers/peer_message.ts";
import type { RetryBudgetLimits } from "./requests/retry_budget.ts";

/** What a daemon is told at its start. */
export type GatewaySettings = Readonly<{
  card: PeerCard;
  /** Peer addresses of daemons that may be asked for the others. */
  seeds: readonly string[];
  /** Host and port for metrics. */
  metrics: string;
  /** Time from SIGTERM until the process is killed. */
  graceMs: Millis;
  budget: RetryBudgetLimits;
}>;
