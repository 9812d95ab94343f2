import type { UpstreamId } from "../core/id.ts";
import { addMs, type Timestamp } from "../core/time.ts";
import type { JobId, PoolGrant } from "../scheduling/pool/pool_job.ts";
import type { LogFields } from "./event_log.ts";
import type { GatewayBoard } from "./gateway_board.ts";
import type { GatewayEvent } from "./gateway_event.ts";
import type { GatewayMetrics } from "./gateway_metrics.ts";
import type { PlacementResult } from "./placement/placement_port.ts";
import type { Dialect } from "./requests/dialect.ts";
import type { EngineOrders } from "./requests/engine_orders.ts";
import type { ExchangePort } from "./requests/exchange_port.ts";
import type { RetryBudget } from "./requests/retry_budget.ts";
import {
  limitsTraffic,
  type UpstreamAvailability,
} from "./requests/upstream_availability.ts";
import { closedUpstreams, findGrantClosure } from "./upstreams/availability.ts";

/** What the exchanges of a daemon use, directly or through the core. */
export type ExchangeAdapterParts = Readonly<{
  board: GatewayBoard;
  dialect: Dialect;
  orders: EngineOrders;
  budget: RetryBudget;
  metrics: GatewayMetrics;
  now: () => Timestamp;
  /** Passes an event to the core. */
  push: (event: GatewayEvent) => void;
  line: (kind: string, fields: LogFields) => void;
}>;

/** Connects the exchanges and the orders to engines with the core: their reports become events, its decisions replies. */
export class ExchangeAdapter {
  readonly #parts: ExchangeAdapterParts;
  readonly #replies = new Map<JobId, (reply: PlacementResult) => void>();
  readonly #startedAt: Timestamp;

  private constructor(parts: ExchangeAdapterParts) {
    this.#parts = parts;
    this.#startedAt = parts.now();
    const { board, orders, push } = parts;
    orders.onAvailability((address, reported, { elapsedMs }) => {
      if (!this.#isOfInterest(reported)) return;
      const upstream = this.#upstreamAt(address);
      if (upstream === undefined) return;
      const sentAt = addMs(parts.now(), -elapsedMs);
      this.#reportAvailability(upstream, reported, sentAt);
    });
    orders.onSend((address) => {
      if (board.gate.rates.size === 0) return;
      const upstream = this.#upstreamAt(address);
      if (upstream !== undefined) push({ type: "order_sent", upstream });
    });
  }

  static create(parts: ExchangeAdapterParts): ExchangeAdapter {
    return new ExchangeAdapter(parts);
  }

  /** Passes the decision on a placement request to the exchange that waits for it. */
  reply(job: JobId, reply: PlacementResult): void {
    const waiting = this.#replies.get(job);
    this.#replies.delete(job);
    waiting?.(reply);
  }

  /** The interface of the exchanges to the daemon. */
  get port(): ExchangePort {
    const { board, dialect, orders, budget, metrics, now, push, line } =
      this.#parts;
    const budgetShare = () => ({
      daemons: board.members.table.all().length + 1,
      ageMs: now() - this.#startedAt,
    });
    const { vm, domain } = board.self.card;
    return {
      dialect,
      orders,
      now,
      random: () => Math.random(),
      self: { vm, domain },
      place: (ask, reply) => {
        this.#replies.set(ask.job, reply);
        push({ type: "place", ask });
      },
      withdraw: (job) => {
        this.#replies.delete(job);
        push({ type: "withdraw", job });
      },
      updateJob: (job, upstream, updates) =>
        push({ type: "job", job, upstream, ...updates }),
      upstreamAt: (address) => this.#upstreamAt(address),
      grantClosure: (grant) => this.#grantClosure(grant),
      closedUpstreams: (service) => closedUpstreams(board, service, now()),
      reportAvailability: (upstream, availability, { sentAt }) =>
        this.#reportAvailability(upstream, availability, sentAt),
      recordFirstSend: (service) => budget.recordNew(service, now()),
      mayRetry: (service) => budget.hasLeft(service, now(), budgetShare()),
      spendRetry: (service) => budget.trySpend(service, now(), budgetShare()),
      line,
      observe: {
        placed: (tokens, ms) => metrics.placed(tokens, ms),
        firstEvent: (tokens, ms) => metrics.firstEvent(tokens, ms),
        completed: (tokens, ms) => metrics.wholeAnswer(tokens, ms),
        retried: (cause) => metrics.retried(cause),
        problem: (code, verdict) => metrics.problem(code, verdict),
        ended: (outcome) => metrics.requestEnded(outcome),
      },
    };
  }

  #upstreamAt(address: string): UpstreamId | undefined {
    const { table } = this.#parts.board.register;
    return table.all().find((entry) => entry.address === address)?.id;
  }

  #reportAvailability(
    upstream: UpstreamId,
    availability: UpstreamAvailability,
    sentAt: Timestamp,
  ): void {
    if (!this.#isOfInterest(availability)) return;
    this.#parts.push({ type: "upstream_said", upstream, availability, sentAt });
  }

  /** Whether a response restricts what may be sent, or may end a limit. */
  #isOfInterest(availability: UpstreamAvailability): boolean {
    return limitsTraffic(availability) || this.#parts.board.gate.rates.size > 0;
  }

  /** Why a grant may not be used; placers learn of a rate that they did not count it against. */
  #grantClosure(grant: PoolGrant) {
    const { board, now, push } = this.#parts;
    const closure = findGrantClosure(board, grant, now());
    if (closure?.reason === "uncounted") {
      push({ type: "uncounted_grant", upstream: closure.upstream });
    }
    return closure;
  }
}
