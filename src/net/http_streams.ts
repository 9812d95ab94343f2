import { errAsync, type Result, ResultAsync } from "neverthrow";
import { Pool } from "undici";
import type { Millis } from "../core/time.ts";
import type { HttpError } from "./http_message.ts";
import { HttpStream } from "./http_stream.ts";

const DEFAULT_CONNECT_TIMEOUT_MS: Millis = 1_000;
const DEFAULT_MAX_STREAMS = 4_096;
const KEEP_ALIVE_MS: Millis = 4_000;
/** Bytes of a body that are written at a time. */
const WRITE_CHUNK_BYTES = 65_536;

/** One call whose body may be large and whose answer is streamed. */
export type HttpStreamReq = Readonly<{
  method: "GET" | "POST";
  /** Path and query. */
  path: string;
  headers: Readonly<Record<string, string>>;
  /** Parts of the body; they are not copied. */
  body?: readonly Uint8Array[];
}>;

/** How connections to one address are made and used. */
export type HttpStreamsConfig = Readonly<{
  /** `host:port`. */
  address: string;
  connectMs?: Millis;
  /** Streams that may be open at a time; more are refused. */
  maxStreams?: number;
}>;

/** Streamed HTTP calls to one address. A call is written at most once; nothing is retried. */
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

  /** Sends a call once; resolves when the answer's head is there. */
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

  /** One silent connection says that its idle neighbours may be silent too. */
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
