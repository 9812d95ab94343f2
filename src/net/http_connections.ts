import { errAsync, ResultAsync } from "neverthrow";
import type { Result } from "neverthrow";
import { Pool } from "undici";
import type { Millis } from "../core/time.ts";
import { HttpExchange } from "./http_exchange.ts";
import type { HttpError, HttpReq, HttpRes } from "./http_message.ts";

const DEFAULT_CONNECT_MS: Millis = 1_000;
const DEFAULT_MAX_CALLS = 256;
const IDLE_MS: Millis = 4_000;

/** How connections to one address are made and used. */
export type HttpConnectionsConfig = Readonly<{
  /** `host:port`. */
  address: string;
  /** Whether a connection serves several calls, one after the other. */
  reuse: boolean;
  /** Time to get a connection. */
  connectMs?: Millis;
  /** Calls that may be open at a time; more are refused. */
  maxCalls?: number;
}>;

/** HTTP connections to one address. A call is written at most once; nothing is retried. */
export class HttpConnections {
  readonly #cfg: Required<HttpConnectionsConfig>;
  readonly #retired = new Set<Pool>();
  #pool: Pool;
  #calls = 0;

  private constructor(cfg: HttpConnectionsConfig) {
    this.#cfg = {
      connectMs: DEFAULT_CONNECT_MS,
      maxCalls: DEFAULT_MAX_CALLS,
      ...cfg,
    };
    this.#pool = this.#createPool();
  }

  static create(cfg: HttpConnectionsConfig): HttpConnections {
    return new HttpConnections(cfg);
  }

  /** Sends a call once; resolves with the whole answer. */
  exchange(
    req: HttpReq,
    options: { timeoutMs: Millis; maxBytes: number },
  ): ResultAsync<HttpRes, HttpError> {
    if (this.#calls >= this.#cfg.maxCalls) {
      const detail = "Too many calls are open";
      return errAsync({ code: "overloaded", sent: false, detail });
    }
    this.#calls += 1;
    const pool = this.#pool;
    const result = new Promise<Result<HttpRes, HttpError>>((resolve) => {
      const exchange = HttpExchange.create(req.method, {
        limits: { ...options, connectMs: this.#cfg.connectMs },
        listener: { settle: resolve, finish: () => this.#calls -= 1 },
      });
      exchange.start();
      this.#dispatch(pool, req, exchange);
    });
    return new ResultAsync(result).mapErr((failure) => {
      if (failure.code === "silent") this.#retire(pool);
      return failure;
    });
  }

  async close(): Promise<void> {
    const pools = [this.#pool, ...this.#retired];
    await Promise.all(pools.map((pool) => pool.destroy()));
  }

  #dispatch(pool: Pool, req: HttpReq, exchange: HttpExchange): void {
    const { method, path, headers } = req;
    const body = req.body?.length ? req.body : undefined;
    const reset = !this.#cfg.reuse;
    try {
      pool.dispatch(
        { method: method as "GET", path, headers, body, reset },
        exchange,
      );
    } catch (cause) {
      exchange.onResponseError(undefined, cause as Error);
    }
  }

  /** One silent connection says that its idle neighbours may be silent too. */
  #retire(pool: Pool): void {
    if (pool !== this.#pool) return;
    this.#pool = this.#createPool();
    this.#retired.add(pool);
    pool.close().catch(() => {}).finally(() => this.#retired.delete(pool));
  }

  #createPool(): Pool {
    return new Pool(`http://${this.#cfg.address}`, {
      connections: this.#cfg.maxCalls,
      pipelining: 1,
      connectTimeout: this.#cfg.connectMs,
      headersTimeout: 0,
      bodyTimeout: 0,
      keepAliveTimeout: IDLE_MS,
      keepAliveMaxTimeout: IDLE_MS,
    });
  }
}
