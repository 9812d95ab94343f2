import type {
  JobId,
  PlacementRequest,
  PoolGrant,
} from "../../scheduling/pool/pool_job.ts";
import type { Socket } from "node:net";
import type { UpstreamId } from "../../core/id.ts";
import type { Problem } from "../../core/problem.ts";
import type { ReservationError } from "./engine_orders.ts";
import type {
  ExchangePort,
  ExchangeRequest,
  JobUpdate,
} from "./exchange_port.ts";
import { notOpen, notSent } from "./exchange_util.ts";
import type { AttemptFailure } from "./retry_policy.ts";
import { TicketManager } from "./ticket_manager.ts";
import { openConnection } from "./upstream_connection.ts";

/** Address of an upstream, with a connection if it was opened in advance. */
export type UpstreamRoute = Readonly<{ address: string; connection?: Socket }>;

/** Callbacks of a placement; none is called after it was closed. */
export type AttemptPlacementListener = Readonly<{
  /** The attempt may be sent. */
  onReady: (grant: PoolGrant, route: UpstreamRoute) => void;
  onDenied: (err: Problem) => void;
  /** The grant can't be used; the placement is to be closed. */
  onUnusable: (failure: AttemptFailure) => void;
  /** The process of the decoding engine has ended. */
  onUpstreamLost: (detail: string) => void;
  onTicketError: (err: ReservationError) => void;
}>;

type AttemptPlacementOptions = Readonly<{
  listener: AttemptPlacementListener;
  /** Whether the attempt is ready only when a connection to its upstream is open. */
  connects: boolean;
}>;

/** The place of one attempt, from its request until it is closed: the grant, and the memory that is reserved for it. */
export class AttemptPlacement {
  readonly #port: ExchangePort;
  readonly #job: JobId;
  readonly #listener: AttemptPlacementListener;
  readonly #connects: boolean;
  #grant: PoolGrant | undefined;
  #tickets: TicketManager | undefined;
  #closed = false;

  private constructor(
    port: ExchangePort,
    job: JobId,
    options: AttemptPlacementOptions,
  ) {
    this.#port = port;
    this.#job = job;
    this.#listener = options.listener;
    this.#connects = options.connects;
  }

  static create(
    port: ExchangePort,
    job: JobId,
    options: AttemptPlacementOptions,
  ): AttemptPlacement {
    return new AttemptPlacement(port, job, options);
  }

  /** The upstream that was granted. */
  get upstream(): UpstreamId | undefined {
    return this.#grant?.job.upstream;
  }

  /** Id of the tickets; undefined where no memory is reserved. */
  get ticket(): string | undefined {
    return this.#tickets?.id;
  }

  request(ask: PlacementRequest): void {
    const askedAt = this.#port.now();
    this.#port.place(ask, (reply) => {
      if (this.#closed) return;
      const waitedMs = this.#port.now() - askedAt;
      this.#port.observe.placed(ask.promptTokens, waitedMs);
      if (reply.isOk()) return void this.#reserve(reply.value);
      this.#closed = true;
      this.#listener.onDenied(reply.error);
    });
  }

  /** Withdraws the request, or gives the place back and reports what became of the attempt. */
  close(update: JobUpdate, culprit?: UpstreamId): void {
    if (this.#closed) return;
    this.#closed = true;
    this.#tickets?.release();
    if (this.#grant === undefined) return this.#port.withdraw(this.#job);
    const { upstream } = this.#grant.job;
    this.#port.updateJob(this.#job, culprit ?? upstream, update);
  }

  /** Withdraws the request, or gives the place back: nothing was sent, for the reason of `failure` if it is given. */
  closeUnsent(req: ExchangeRequest, failure?: AttemptFailure): void {
    const { digest, head: { sharedParts } } = req;
    this.close({
      phase: failure?.upstreamAtFault === true ? "failed" : "ended",
      content: { digest, sharedParts, outcome: "not_run", ranMs: 0 },
    });
  }

  async #reserve(grant: PoolGrant): Promise<void> {
    this.#grant = grant;
    if (grant.job.tickets.length > 0) {
      if (this.#failIfNotOpen(grant)) return;
      const tickets = TicketManager.create(this.#port.orders, grant, {
        onError: this.#listener.onTicketError,
      });
      this.#tickets = tickets;
      const reserved = await tickets.reserve(this.#listener.onUpstreamLost);
      if (this.#closed) return tickets.release();
      if (reserved.isErr()) {
        const { detail } = reserved.error;
        return this.#listener.onUnusable(notSent("plan_broken", detail));
      }
    }
    if (this.#failIfNotOpen(grant)) return;
    const address = grant.addresses[grant.job.upstream];
    if (address === undefined) {
      const detail = "The upstream's address is unknown";
      return this.#listener.onUnusable(notSent("connect_failed", detail));
    }
    if (!this.#connects) return this.#listener.onReady(grant, { address });
    const opened = await openConnection(address);
    if (opened.isErr()) {
      if (this.#closed) return;
      return this.#listener.onUnusable({
        ...notSent("connect_failed", opened.error.detail),
        upstreamAtFault: true,
        unreachable: opened.error.refused,
      });
    }
    const connection = opened.value;
    if (this.#closed || this.#failIfNotOpen(grant)) {
      connection.destroy();
      return;
    }
    this.#listener.onReady(grant, { address, connection });
  }

  /** Fails if an upstream of the grant closed while the grant was in transit or memory was being reserved. */
  #failIfNotOpen(grant: PoolGrant): boolean {
    const closure = this.#port.grantClosure(grant);
    if (closure === undefined) return false;
    const failure = notOpen(closure.upstream, closure, this.#port.now());
    this.#listener.onUnusable(failure);
    return true;
  }
}
