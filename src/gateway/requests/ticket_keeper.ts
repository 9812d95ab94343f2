import { err, ok, type Result } from "neverthrow";
import type { Millis } from "../../core/time.ts";
import type { PoolGrant } from "../../scheduling/pool/pool_job.ts";
import type { EngineOrders, ReservationError } from "./engine_orders.ts";

/** How long a ticket lives without being renewed; short, so that what a dead daemon held is free again soon. */
const HOLD_MS: Millis = 3_600;
/** Time between renewals; one may be lost. */
const RENEW_MS: Millis = 1_500;

type Ticket = Readonly<{ address: string; tokens: number }>;

/** Holds the memory that one prompt needs on other engines, from before it is sent until it has ended. */
export class TicketKeeper {
  readonly id: string;
  readonly #orders: EngineOrders;
  readonly #tickets: readonly Ticket[];
  readonly #answering: string | undefined;
  readonly #report: (err: ReservationError) => void;
  #timer: NodeJS.Timeout | undefined;

  private constructor(
    orders: EngineOrders,
    grant: PoolGrant,
    report: (err: ReservationError) => void,
  ) {
    this.#orders = orders;
    this.#report = report;
    this.id = grant.job.id;
    this.#answering = grant.addresses[grant.job.upstream];
    this.#tickets = grant.job.tickets.flatMap(({ upstream, tokens }) => {
      const address = grant.addresses[upstream];
      return address === undefined ? [] : [{ address, tokens }];
    });
  }

  static create(
    orders: EngineOrders,
    grant: PoolGrant,
    options: Readonly<{ report: (err: ReservationError) => void }>,
  ): TicketKeeper {
    return new TicketKeeper(orders, grant, options.report);
  }

  /**
   * Reserves everything, or nothing. Calls `lost` when the engine that answers is dead: what it would have used must
   * not stay reserved until its silence is noticed.
   */
  async reserve(lost: () => void): Promise<Result<void, ReservationError>> {
    const results = await this.#order();
    const failed = results.find((one) => one.isErr());
    if (failed !== undefined && failed.isErr()) {
      this.release();
      return err(failed.error);
    }
    this.#timer = setInterval(() => void this.#renew(lost), RENEW_MS);
    return ok(undefined);
  }

  /** Frees everything; a ticket that the order does not reach lapses by itself. */
  release(): void {
    clearInterval(this.#timer);
    this.#timer = undefined;
    for (const { address } of this.#tickets) {
      void this.#orders.release(address, this.id).mapErr(this.#report);
    }
  }

  async #renew(lost: () => void): Promise<void> {
    const timer = this.#timer;
    const [alive] = await Promise.all([this.#isAlive(), this.#order()]);
    if (alive || timer !== this.#timer) return;
    clearInterval(this.#timer);
    lost();
  }

  /** Asks twice, as one answer may be lost. */
  async #isAlive(): Promise<boolean> {
    if (this.#answering === undefined) return false;
    const first = await this.#orders.inspect(this.#answering);
    if (first.isOk()) return true;
    const second = await this.#orders.inspect(this.#answering);
    if (second.isErr()) this.#report(second.error);
    return second.isOk();
  }

  #order(): Promise<Result<void, ReservationError>[]> {
    return Promise.all(
      this.#tickets.map(({ address, tokens }) =>
        this.#orders.reserve({
          address,
          ticket: this.id,
          tokens,
          holdMs: HOLD_MS,
        }).mapErr((failure) => {
          this.#report(failure);
          return failure;
        })
      ),
    );
  }
}
