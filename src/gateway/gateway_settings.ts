import type { Millis } from "../core/time.ts";
import type { ProcessResources } from "./requests/client_budget.ts";
import type { PeerCard } from "./peers/peer_message.ts";
import type { RetryBudgetLimits } from "./requests/retry_budget.ts";

/** Settings of a daemon that are read at its start. */
export type GatewaySettings = Readonly<{
  card: PeerCard;
  /** Peer addresses (`host:port`) of daemons that list the other daemons. */
  seeds: readonly string[];
  /** Host and port of the metrics endpoint. */
  metrics: string;
  /** Memory and descriptors of the process, by which clients are limited. */
  resources: ProcessResources;
  /** Time from SIGTERM until the process is killed. */
  graceMs: Millis;
  /** Limits on repeated attempts. */
  budget: RetryBudgetLimits;
}>;
