import { errAsync, ResultAsync } from "neverthrow";
import type { Result } from "neverthrow";
import { Pool } from "undici";
import type { Millis } from "../core/time.ts";
import { HttpExchange } from "./http_exchange.ts";
import type { HttpError, HttpReq, HttpRes } from "./http_message.ts";

const DEFAULT_CONNECT_TIMEOUT_MS: Millis = 1_000;
const DEFAULT_MAX_CALLS = 256;
const KEEP_ALIVE_MS: Millis = 4_000;

/** How connections to one server are made and used. */
export type HttpConnectionsConfig = Readonly<{
  /** Scheme, host and port, and where needed the path that all paths go below. */
  url: string;
  /** Whether a connection serves several calls, one after the other. */
  reuse: boolean;
  /** Time to get a connection. */
  connectMs?: Millis;
  /** Calls that may be open at a time; more are refused. */
  maxCalls?: number;
}>;

/** HTTP connections to one server. A call is written at most once; nothing is retried. */
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

  /** Sends a call once; resolves with the whole answer. */
  exchange(
    req: HttpReq,
    options: { timeoutMs: Millis; maxBytes: number },
  ): ResultAsync<HttpRes, HttpError> {
    const pool = this.#pool;
    if (pool === undefined) {
      const detail = "The server's address is malformed";
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

  /** One silent connection says that its idle neighbours may be silent too. */
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
