import { type Refusal, REFUSALS, type Retry, RetrySchema } from "./reason.ts";

/** Names of all counters other than those of refusals and retries. */
export const COUNTERS = [
  "requests_admitted",
  "requests_finished",
  "requests_failed",
  "answers_late",
  "answers_crossed",
  "answers_doubled",
  "peer_messages_dropped",
  "peer_bytes_sent",
  "peer_bytes_received",
  "log_records_ignored",
  "claims_won",
  "claims_lost",
  "claims_released",
  "claims_dropped",
  "config_taken",
  "config_unreadable",
  "checkpoints_appended",
  "log_gaps",
  "log_read_failures",
  "log_append_retries",
  "audit_records_lost",
  "leases_won",
  "leases_lost",
  "placements_local",
  "placements_shared",
  "orders_sent",
  "orders_stale",
  "upstreams_crashed",
  "requests_quarantined",
  "reservations_reclaimed",
] as const;

/** Name of a counter other than those of refusals and retries. */
export type CounterName = (typeof COUNTERS)[number];

/** Counters of a daemon since its start. */
export class Counters {
  readonly refused: Record<Refusal, number>;
  readonly retried: Record<Retry, number>;
  readonly counted: Record<CounterName, number>;

  private constructor() {
    this.refused = zeros(Object.keys(REFUSALS) as Refusal[]);
    this.retried = zeros(RetrySchema.options);
    this.counted = zeros(COUNTERS);
  }

  static create(): Counters {
    return new Counters();
  }

  /** Counts a refusal or failure by its reason. */
  refuse(reason: Refusal): void {
    this.refused[reason] += 1;
  }

  /** Counts a retry by its reason. */
  retry(reason: Retry): void {
    this.retried[reason] += 1;
  }

  /** Adds to a counter. */
  add(name: CounterName, amount = 1): void {
    this.counted[name] += amount;
  }
}

function zeros<Name extends string>(
  names: readonly Name[],
): Record<Name, number> {
  return Object.fromEntries(names.map((name) => [name, 0])) as Record<
    Name,
    number
  >;
}
