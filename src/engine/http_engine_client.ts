import { Buffer } from "node:buffer";
import { err, ok, type Result, ResultAsync } from "neverthrow";
import type { z } from "zod";
import type { AttemptId, PlanId } from "../core/id.ts";
import type { Millis } from "../core/time.ts";
import { HttpConnections } from "../net/http_connections.ts";
import {
  type HttpHeaders,
  type HttpReq,
  type HttpRes,
  retryAfterMs,
} from "../net/http_message.ts";
import type { HttpStream } from "../net/http_stream.ts";
import { HttpStreams } from "../net/http_streams.ts";
import {
  type CacheEvents,
  CacheEventsSchema,
  type EngineOrder,
  EngineRefusalSchema,
  type EngineState,
  EngineStateSchema,
  type GenerateHead,
  type LoadReport,
  LoadReportSchema,
  type Reservation,
} from "../wire/engine.ts";
import {
  type CachePosition,
  EngineClient,
  type EngineError,
  type EngineStream,
  type PromptBody,
} from "./engine_client.ts";
import { readEngineStream, toEngineError } from "./engine_events.ts";

const CALL_TIMEOUT_MS: Millis = 5_000;
const IMPORT_TIMEOUT_MS: Millis = 60_000;
const MAX_RESPONSE_BYTES = 4 * 1_048_576;
const MAX_REFUSAL_BYTES = 65_536;
const FIRST_ERROR_STATUS = 400;

/** Time limits of calls; tests set shorter ones. */
export type HttpEngineClientOptions = Readonly<{
  connectMs?: Millis;
  /** Time for a whole call other than `generate`, `resume` or `importKv`. */
  callTimeoutMs?: Millis;
  importTimeoutMs?: Millis;
}>;

/** One model engine over HTTP. */
export class HttpEngineClient extends EngineClient {
  readonly #calls: HttpConnections;
  readonly #streams: HttpStreams;
  readonly #options: HttpEngineClientOptions;

  private constructor(address: string, options: HttpEngineClientOptions) {
    super();
    const { connectMs } = options;
    this.#calls = HttpConnections.create({
      url: `http://${address}`,
      reuse: true,
      ...(connectMs !== undefined && { connectMs }),
    });
    this.#streams = HttpStreams.create({
      address,
      ...(connectMs !== undefined && { connectMs }),
    });
    this.#options = options;
  }

  /** Builds a client for the engine at `host:port`. */
  static create(
    address: string,
    options: HttpEngineClientOptions = {},
  ): HttpEngineClient {
    return new HttpEngineClient(address, options);
  }

  override generate(
    head: GenerateHead,
    prompt: PromptBody,
    options: { silenceMs: Millis },
  ): ResultAsync<EngineStream, EngineError> {
    const line = Buffer.from(`${JSON.stringify(head)}\n`);
    return this.#streams.open({
      method: "POST",
      path: "/v1/generate",
      headers: { "content-type": "application/octet-stream" },
      body: [line, ...prompt],
    }, options).mapErr(toEngineError).andThen(toEngineStream);
  }

  override resume(
    attempt: AttemptId,
    after: number,
    options: { silenceMs: Millis },
  ): ResultAsync<EngineStream, EngineError> {
    return this.#streams.open({
      method: "GET",
      path: `${streamPath(attempt)}?after=${after}`,
      headers: { accept: "text/event-stream" },
    }, options).mapErr(toEngineError).andThen(toEngineStream);
  }

  override cancel(attempt: AttemptId): ResultAsync<void, EngineError> {
    return this.#call(request("DELETE", streamPath(attempt)))
      .map(() => undefined);
  }

  override load(): ResultAsync<LoadReport, EngineError> {
    return this.#get("/v1/load", LoadReportSchema);
  }

  override state(): ResultAsync<EngineState, EngineError> {
    return this.#get("/v1/state", EngineStateSchema);
  }

  override cacheEvents(
    after?: CachePosition,
  ): ResultAsync<CacheEvents, EngineError> {
    const query = after === undefined
      ? ""
      : `?after=${after.seq}&incarnation=${
        encodeURIComponent(after.incarnation)
      }`;
    return this.#get(`/v1/cache_events${query}`, CacheEventsSchema);
  }

  override order(order: EngineOrder): ResultAsync<void, EngineError> {
    return this.#call(request("POST", "/v1/orders", order))
      .map(() => undefined);
  }

  override reserve(
    plan: PlanId,
    reservation: Reservation,
  ): ResultAsync<void, EngineError> {
    return this.#call(request("PUT", reservationPath(plan), reservation))
      .map(() => undefined);
  }

  override release(plan: PlanId): ResultAsync<void, EngineError> {
    return this.#call(request("DELETE", reservationPath(plan)))
      .map(() => undefined);
  }

  override importKv(
    plan: PlanId,
    from: string,
  ): ResultAsync<void, EngineError> {
    const path = `/v1/kv/${encodeURIComponent(plan)}/import`;
    const timeoutMs = this.#options.importTimeoutMs ?? IMPORT_TIMEOUT_MS;
    return this.#call(request("POST", path, { from }), timeoutMs)
      .map(() => undefined);
  }

  override async close(): Promise<void> {
    await Promise.all([this.#calls.close(), this.#streams.close()]);
  }

  #get<Schema extends z.ZodType>(
    path: string,
    schema: Schema,
  ): ResultAsync<z.output<Schema>, EngineError> {
    return this.#call(request("GET", path)).andThen(
      (res): Result<z.output<Schema>, EngineError> => {
        const parsed = schema.safeParse(parseJson(res.body));
        return parsed.success
          ? ok(parsed.data)
          : err(malformed(`Response to ${path} does not match its schema`));
      },
    );
  }

  #call(
    req: HttpReq,
    timeoutMs = this.#options.callTimeoutMs ?? CALL_TIMEOUT_MS,
  ): ResultAsync<HttpRes, EngineError> {
    return this.#calls.exchange(req, {
      timeoutMs,
      maxBytes: MAX_RESPONSE_BYTES,
    })
      .mapErr(toEngineError)
      .andThen((res) =>
        res.status < FIRST_ERROR_STATUS ? ok(res) : err(toRefusal(res))
      );
  }
}

function request(method: string, path: string, body?: unknown): HttpReq {
  if (body === undefined) return { method, path, headers: {} };
  return {
    method,
    path,
    headers: { "content-type": "application/json" },
    body: Buffer.from(JSON.stringify(body)),
  };
}

function streamPath(attempt: AttemptId): string {
  return `/v1/streams/${encodeURIComponent(attempt)}`;
}

function reservationPath(plan: PlanId): string {
  return `/v1/reservations/${encodeURIComponent(plan)}`;
}

function toEngineStream(
  stream: HttpStream,
): ResultAsync<EngineStream, EngineError> {
  return new ResultAsync(checkResponseHead(stream));
}

async function checkResponseHead(
  stream: HttpStream,
): Promise<Result<EngineStream, EngineError>> {
  const { status, headers } = stream;
  if (status >= FIRST_ERROR_STATUS) {
    const body = await readRefusalBody(stream);
    return body.andThen((bytes) =>
      err(toRefusal({ status, headers, body: bytes }))
    );
  }
  if (isEventStream(headers)) return ok(readEngineStream(stream));
  stream.close();
  return err(
    malformed(`Response with status ${status} is not an event stream`),
  );
}

function isEventStream(headers: HttpHeaders): boolean {
  return String(headers["content-type"]).startsWith("text/event-stream");
}

async function readRefusalBody(
  stream: HttpStream,
): Promise<Result<Buffer, EngineError>> {
  const chunks: Buffer[] = [];
  let size = 0;
  for await (const item of stream.items()) {
    if (!item.ok) return err(toEngineError(item.err));
    size += item.chunk.byteLength;
    if (size > MAX_REFUSAL_BYTES) {
      stream.close();
      return err(malformed("The body of a refusal is too large"));
    }
    chunks.push(item.chunk);
  }
  return ok(Buffer.concat(chunks, size));
}

/** Decodes a refusal; only a valid refusal body proves that nothing was run. */
function toRefusal(res: HttpRes): EngineError {
  const parsed = EngineRefusalSchema.safeParse(parseJson(res.body));
  if (!parsed.success) {
    return malformed(`Response with status ${res.status} has no valid refusal`);
  }
  return {
    code: "refused",
    verdict: "not_run",
    refusal: parsed.data,
    retryAfterMs: retryAfterMs(res.headers),
  };
}

function malformed(detail: string): EngineError {
  return { code: "malformed", verdict: "may_have_run", detail };
}

function parseJson(body: Uint8Array): unknown {
  try {
    return JSON.parse(Buffer.from(body).toString());
  } catch {
    return undefined;
  }
}
