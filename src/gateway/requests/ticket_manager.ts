import { err, ok, type Result } from "neverthrow";
import type { Millis } from "../../core/time.ts";
import type { PoolGrant } from "../../scheduling/pool/pool_job.ts";
import type { EngineOrders, ReservationError } from "./engine_orders.ts";

/** Lifetime of a ticket without renewal; short, so that the memory reserved by a dead daemon is soon freed. */
const TICKET_TTL_MS: Millis = 3_600;
/** Time between renewals; a ticket outlives the loss of one of them. */
const RENEW_INTERVAL_MS: Millis = 1_500;

type Ticket = Readonly<{ address: string; tokens: number }>;

/** Reserves the memory that one prompt needs on other engines, from before it is sent until it has ended. */
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
   * Reserves all tickets, or none. Calls `onUpstreamLost` when the decoding engine is dead, so that the memory doesn't
   * stay reserved until the silence limit of the attempt is reached.
   */
  async reserve(
    onUpstreamLost: () => void,
  ): Promise<Result<void, ReservationError>> {
    const results = await this.#reserveAll();
    const failed = results.find((result) => result.isErr());
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

  /** Releases all tickets; a ticket whose release order is lost expires by itself. */
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

  /** Whether the decoding engine responds; queries it twice, as one response may be lost. */
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
