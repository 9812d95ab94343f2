import { err, ok, type Result } from "neverthrow";
import type { Millis } from "../../core/time.ts";
import type { PoolGrant } from "../../scheduling/pool/pool_job.ts";
import type { EngineOrders, ReservationError } from "./engine_orders.ts";

/** How long a ticket lives without being renewed; short, so that what a dead daemon held is free again soon. */
const TICKET_TTL_MS: Millis = 3_600;
/** Time between renewals; one may be lost. */
const RENEW_INTERVAL_MS: Millis = 1_500;

type Ticket = Readonly<{ address: string; tokens: number }>;

/** Holds the memory that one prompt needs on other engines, from before it is sent until it has ended. */
export class TicketManager {
  readonly id: string;
  readonly #orders: EngineOrders;
  readonly #tickets: readonly Ticket[];
  readonly #upstreamAddress: string | undefined;
  readonly #onError: (err: ReservationError) => void;
  #timer: NodeJS.Timeout | undefined;

  private constructor(
    orders: EngineOrders,
    grant: PoolGrant,
    onError: (err: ReservationError) => void,
  ) {
    this.#orders = orders;
    this.#onError = onError;
    this.id = grant.job.id;
    this.#upstreamAddress = grant.addresses[grant.job.upstream];
    this.#tickets = grant.job.tickets.flatMap(({ upstream, tokens }) => {
      const address = grant.addresses[upstream];
      return address === undefined ? [] : [{ address, tokens }];
    });
  }

  static create(
    orders: EngineOrders,
    grant: PoolGrant,
    options: Readonly<{ onError: (err: ReservationError) => void }>,
  ): TicketManager {
    return new TicketManager(orders, grant, options.onError);
  }

  /**
   * Reserves everything, or nothing. Calls `lost` when the engine that answers is dead: what it would have used must
   * not stay reserved until its silence is noticed.
   */
  async reserve(
    onUpstreamLost: () => void,
  ): Promise<Result<void, ReservationError>> {
    const results = await this.#reserveAll();
    const failed = results.find((one) => one.isErr());
    if (failed !== undefined && failed.isErr()) {
      this.release();
      return err(failed.error);
    }
    this.#timer = setInterval(
      () => void this.#renew(onUpstreamLost),
      RENEW_INTERVAL_MS,
    );
    return ok(undefined);
  }

  /** Frees everything; a ticket that the order does not reach lapses by itself. */
  release(): void {
    clearInterval(this.#timer);
    this.#timer = undefined;
    for (const { address } of this.#tickets) {
      void this.#orders.release(address, this.id).mapErr(this.#onError);
    }
  }

  async #renew(onUpstreamLost: () => void): Promise<void> {
    const timer = this.#timer;
    const [alive] = await Promise.all([
      this.#isUpstreamAlive(),
      this.#reserveAll(),
    ]);
    if (alive || timer !== this.#timer) return;
    clearInterval(this.#timer);
    onUpstreamLost();
  }

  /** Asks twice, as one answer may be lost. */
  async #isUpstreamAlive(): Promise<boolean> {
    if (this.#upstreamAddress === undefined) return false;
    const first = await this.#orders.fetchReport(this.#upstreamAddress);
    if (first.isOk()) return true;
    const second = await this.#orders.fetchReport(this.#upstreamAddress);
    if (second.isErr()) this.#onError(second.error);
    return second.isOk();
  }

  #reserveAll(): Promise<Result<void, ReservationError>[]> {
    return Promise.all(
      this.#tickets.map(({ address, tokens }) =>
        this.#orders.reserve({
          address,
          ticket: this.id,
          tokens,
          holdMs: TICKET_TTL_MS,
        }).mapErr((failure) => {
          this.#onError(failure);
          return failure;
        })
      ),
    );
  }
}
