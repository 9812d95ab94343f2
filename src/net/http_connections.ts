import { errAsync, ResultAsync } from "neverthrow";
import type { Result } from "neverthrow";
import { Pool } from "undici";
import type { Millis } from "../core/time.ts";
import { HttpExchange } from "./http_exchange.ts";
import type { HttpError, HttpReq, HttpRes } from "./http_message.ts";

const DEFAULT_CONNECT_TIMEOUT_MS: Millis = 1_000;
const DEFAULT_MAX_CALLS = 256;
const KEEP_ALIVE_MS: Millis = 4_000;

/** Settings of the HTTP connections to one server. */
export type HttpConnectionsConfig = Readonly<{
  /** Scheme, host, port and an optional base path that is prepended to each request's path. */
  url: string;
  /** Whether a connection is kept open for further calls. */
  reuse: boolean;
  /** Time limit for getting a connection, in ms. */
  connectMs?: Millis;
  /** Largest number of concurrent calls; further ones fail with `overloaded`. */
  maxCalls?: number;
}>;

/** Pool of HTTP connections to one server. A call is sent at most once and never retried. */
export class HttpConnections {
  readonly #cfg: Required<HttpConnectionsConfig>;
  readonly #retired = new Set<Pool>();
  readonly #basePath: string;
  #pool: Pool | undefined;
  #openCalls = 0;

  private constructor(cfg: HttpConnectionsConfig) {
    this.#cfg = {
      ...cfg,
      connectMs: cfg.connectMs ?? DEFAULT_CONNECT_TIMEOUT_MS,
      maxCalls: cfg.maxCalls ?? DEFAULT_MAX_CALLS,
    };
    this.#basePath = basePathOf(cfg.url);
    this.#pool = URL.canParse(cfg.url) ? this.#createPool() : undefined;
  }

  static create(cfg: HttpConnectionsConfig): HttpConnections {
    return new HttpConnections(cfg);
  }

  /** Sends a call once and resolves with the complete response. */
  exchange(
    req: HttpReq,
    options: { timeoutMs: Millis; maxBytes: number },
  ): ResultAsync<HttpRes, HttpError> {
    const pool = this.#pool;
    if (pool === undefined) {
      const detail = "The server's URL is malformed";
      return errAsync({ code: "connect_failed", sent: false, detail });
    }
    if (this.#openCalls >= this.#cfg.maxCalls) {
      const detail = "Too many calls are open";
      return errAsync({ code: "overloaded", sent: false, detail });
    }
    this.#openCalls += 1;
    const result = new Promise<Result<HttpRes, HttpError>>((resolve) => {
      const exchange = HttpExchange.create(req.method, {
        limits: { ...options, connectMs: this.#cfg.connectMs },
        listener: { settle: resolve, finish: () => this.#openCalls -= 1 },
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
    await Promise.all(pools.map((pool) => pool?.destroy()));
  }

  #dispatch(pool: Pool, req: HttpReq, exchange: HttpExchange): void {
    const { method, headers } = req;
    const path = this.#basePath + req.path;
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

  /** Replaces the pool after a time-out, since its idle connections may be dead as well. */
  #retire(pool: Pool): void {
    if (pool !== this.#pool) return;
    this.#pool = this.#createPool();
    this.#retired.add(pool);
    pool.close().catch(() => {}).finally(() => this.#retired.delete(pool));
  }

  #createPool(): Pool {
    return new Pool(new URL(this.#cfg.url).origin, {
      connections: this.#cfg.maxCalls,
      pipelining: 1,
      connectTimeout: this.#cfg.connectMs,
      headersTimeout: 0,
      bodyTimeout: 0,
      keepAliveTimeout: KEEP_ALIVE_MS,
      keepAliveMaxTimeout: KEEP_ALIVE_MS,
    });
  }
}

function basePathOf(url: string): string {
  if (!URL.canParse(url)) return "";
  return new URL(url).pathname.replace(/\/+$/, "");
}
