import { err, ok, type Result } from "neverthrow";
import type { Millis } from "../../core/time.ts";
import type { PoolGrant } from "../../scheduling/pool/pool_job.ts";
import type { EngineOrders, ReservationError } from "./engine_orders.ts";

/** Lifetime of a ticket without renewal; short, so that the memory reserved by a dead daemon is soon freed. */
const TICKET_TTL_MS: Millis = 3_600;
/** Time between renewals; a ticket outlives the loss of one of them. */
const RENEW_INTERVAL_MS: Millis = 1_500;
/** Time between calls to a silent decoding engine; it is soon noticed when it responds again. */
const SILENT_RETRY_MS: Millis = 200;

const UNREACHABLE = "The upstream's address refuses connections";
const RESTARTED = "The upstream was restarted";

type Ticket = Readonly<{ address: string; tokens: number }>;

/** Reserves the memory that one prompt needs on other engines, from before it is sent until it has ended. */
export class TicketManager {
  readonly id: string;
  readonly #orders: EngineOrders;
  readonly #tickets: readonly Ticket[];
  readonly #upstreamAddress: string | undefined;
  readonly #onError: (err: ReservationError) => void;
  #timer: NodeJS.Timeout | undefined;
  /** Ends the renewals when the tickets have expired. */
  #expiryTimer: NodeJS.Timeout | undefined;
  /** Start of the decoding engine's process, by its first report. */
  #startedAt: number | undefined;
  /** Whether the decoding engine left the last call unanswered. */
  #isSilent = false;

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
   * Reserves all tickets, or none, and renews them for as long as the decoding engine responds. Memory for an engine
   * that is silent is freed when the tickets expire. Calls `onUpstreamLost` when the engine's process has ended.
   */
  async reserve(
    onUpstreamLost: (detail: string) => void,
  ): Promise<Result<void, ReservationError>> {
    const results = await this.#reserveAll();
    const failed = results.find((result) => result.isErr());
    if (failed !== undefined && failed.isErr()) {
      this.release();
      return err(failed.error);
    }
    this.#schedule(RENEW_INTERVAL_MS, onUpstreamLost);
    return ok(undefined);
  }

  /** Releases all tickets; a ticket whose release order is lost expires by itself. */
  release(): void {
    this.#stop();
    for (const { address } of this.#tickets) {
      void this.#orders.release(address, this.id).mapErr(this.#onError);
    }
  }

  #stop(): void {
    clearTimeout(this.#timer);
    clearTimeout(this.#expiryTimer);
    this.#timer = undefined;
  }

  #schedule(ms: Millis, onUpstreamLost: (detail: string) => void): void {
    clearTimeout(this.#timer);
    this.#timer = setTimeout(() => void this.#renew(onUpstreamLost), ms);
  }

  async #renew(onUpstreamLost: (detail: string) => void): Promise<void> {
    this.#schedule(RENEW_INTERVAL_MS, onUpstreamLost);
    const timer = this.#timer;
    const address = this.#upstreamAddress;
    if (address === undefined) return onUpstreamLost(UNREACHABLE);
    const report = await this.#orders.fetchReport(address);
    if (timer !== this.#timer) return;
    const loss = report.match(
      ({ startedAt }) => this.#isRestarted(startedAt) ? RESTARTED : undefined,
      ({ code }) => code === "unreachable" ? UNREACHABLE : undefined,
    );
    if (loss !== undefined) {
      this.#stop();
      return onUpstreamLost(loss);
    }
    const wasSilent = this.#isSilent;
    this.#isSilent = report.isErr();
    if (report.isOk()) return void await this.#reserveAll();
    if (!wasSilent) this.#onError(report.error);
    this.#schedule(SILENT_RETRY_MS, onUpstreamLost);
  }

  /** Whether a report shows another process than the first one did. */
  #isRestarted(startedAt: number | undefined): boolean {
    this.#startedAt ??= startedAt;
    return startedAt !== undefined && startedAt !== this.#startedAt;
  }

  /** Stops the renewals: tickets that have expired are not taken again. */
  #expire(): void {
    this.#stop();
    const detail = "The tickets expired, as the decoding engine is silent";
    this.#onError({ code: "unknown", detail });
  }

  #reserveAll(): Promise<Result<void, ReservationError>[]> {
    clearTimeout(this.#expiryTimer);
    this.#expiryTimer = setTimeout(() => this.#expire(), TICKET_TTL_MS);
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
