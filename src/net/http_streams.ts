import { errAsync, type Result, ResultAsync } from "neverthrow";
import { Pool } from "undici";
import type { Millis } from "../core/time.ts";
import type { HttpError } from "./http_message.ts";
import { HttpStream } from "./http_stream.ts";

const DEFAULT_CONNECT_TIMEOUT_MS: Millis = 1_000;
const DEFAULT_MAX_STREAMS = 4_096;
const KEEP_ALIVE_MS: Millis = 4_000;
/** Size of the pieces in which a request body is written. */
const WRITE_CHUNK_BYTES = 65_536;

/** An HTTP request with a body that may be large and a streamed response. */
export type HttpStreamReq = Readonly<{
  method: "GET" | "POST";
  /** Path and query. */
  path: string;
  headers: Readonly<Record<string, string>>;
  /** Parts of the body, in order; they are not copied. */
  body?: readonly Uint8Array[];
}>;

/** Settings of the HTTP connections to one address. */
export type HttpStreamsConfig = Readonly<{
  /** `host:port`. */
  address: string;
  connectMs?: Millis;
  /** Largest number of concurrent streams; further ones fail with `overloaded`. */
  maxStreams?: number;
}>;

/** Streamed HTTP calls to one address. A call is sent at most once and never retried. */
export class HttpStreams {
  readonly #cfg: Required<HttpStreamsConfig>;
  readonly #retired = new Set<Pool>();
  #pool: Pool;
  #openStreams = 0;

  private constructor(cfg: HttpStreamsConfig) {
    this.#cfg = {
      connectMs: DEFAULT_CONNECT_TIMEOUT_MS,
      maxStreams: DEFAULT_MAX_STREAMS,
      ...cfg,
    };
    this.#pool = this.#createPool();
  }

  static create(cfg: HttpStreamsConfig): HttpStreams {
    return new HttpStreams(cfg);
  }

  /** Sends a call once and resolves when the response headers have arrived. */
  open(
    req: HttpStreamReq,
    options: { silenceMs: Millis },
  ): ResultAsync<HttpStream, HttpError> {
    if (this.#openStreams >= this.#cfg.maxStreams) {
      const detail = "Too many streams are open";
      return errAsync({ code: "overloaded", sent: false, detail });
    }
    this.#openStreams += 1;
    const pool = this.#pool;
    const limits = { connectMs: this.#cfg.connectMs, ...options };
    const result = new Promise<Result<HttpStream, HttpError>>((resolve) => {
      const stream = HttpStream.create(limits, {
        open: resolve,
        silent: () => this.#retire(pool),
        finish: () => this.#openStreams -= 1,
      });
      stream.start();
      dispatch(pool, req, stream);
    });
    return new ResultAsync(result);
  }

  async close(): Promise<void> {
    const pools = [this.#pool, ...this.#retired];
    await Promise.all(pools.map((pool) => pool.destroy()));
  }

  /** Replaces the pool after a silent call, since its idle connections may be dead as well. */
  #retire(pool: Pool): void {
    if (pool !== this.#pool) return;
    this.#pool = this.#createPool();
    this.#retired.add(pool);
    pool.close().catch(() => {}).finally(() => this.#retired.delete(pool));
  }

  #createPool(): Pool {
    return new Pool(`http://${this.#cfg.address}`, {
      connections: this.#cfg.maxStreams,
      pipelining: 1,
      connectTimeout: this.#cfg.connectMs,
      headersTimeout: 0,
      bodyTimeout: 0,
      keepAliveTimeout: KEEP_ALIVE_MS,
      keepAliveMaxTimeout: KEEP_ALIVE_MS,
    });
  }
}

function dispatch(pool: Pool, req: HttpStreamReq, stream: HttpStream): void {
  const { method, path, body } = req;
  const length = body?.reduce((sum, part) => sum + part.byteLength, 0);
  const headers = length === undefined
    ? req.headers
    : { ...req.headers, "content-length": String(length) };
  try {
    pool.dispatch({
      method,
      path,
      headers,
      body: body && writeParts(body, stream) as never,
    }, stream);
  } catch (cause) {
    stream.onResponseError(undefined, cause as Error);
  }
}

async function* writeParts(
  body: readonly Uint8Array[],
  stream: HttpStream,
): AsyncGenerator<Uint8Array, void, undefined> {
  for (const part of body) {
    for (let start = 0; start < part.byteLength; start += WRITE_CHUNK_BYTES) {
      stream.restartSilenceTimer();
      yield await Promise.resolve(
        part.subarray(start, start + WRITE_CHUNK_BYTES),
      );
    }
  }
}
