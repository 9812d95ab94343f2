import { err, errAsync, ok, type Result, type ResultAsync } from "neverthrow";
import { Buffer } from "node:buffer";
import type { Offset, StreamName } from "../core/id.ts";
import { type Millis, SECOND_MS } from "../core/time.ts";
import { HttpConnections } from "../net/http_connections.ts";
import {
  type HttpError,
  type HttpRes,
  retryAfterMs,
} from "../net/http_message.ts";
import { parseJsonResponse } from "../net/json_response.ts";
import {
  LogAppendedSchema,
  LogAppendSchema,
  type LogBatch,
  LogBatchSchema,
  LogGoneSchema,
  MAX_LOG_BODY_BYTES,
} from "../wire/log.ts";
import { LogClient, type LogError } from "./log_client.ts";

const DEFAULT_TIMEOUT_MS: Millis = 5 * SECOND_MS;
/** JSON may escape one byte of a value as six; the rest is for offsets and times. */
const MAX_RESPONSE_BYTES = 8 * MAX_LOG_BODY_BYTES;
/** Statuses that guarantee that the service appended nothing. */
const REFUSAL_STATUSES = new Set([400, 403, 404, 413, 429, 503]);

/** Limits of the connections to the log service. */
export type HttpLogClientOptions = Readonly<{
  /** Time limit of a response, on top of the long-poll time of a read. */
  timeoutMs?: Millis;
  connectMs?: Millis;
  /** Most concurrent calls; further ones are refused. */
  maxCalls?: number;
}>;

/** The log service over HTTP. */
export class HttpLogClient extends LogClient {
  readonly #connections: HttpConnections;
  readonly #timeoutMs: Millis;

  private constructor(url: string, options: HttpLogClientOptions) {
    super();
    this.#connections = HttpConnections.create({
      ...options,
      url,
      reuse: true,
    });
    this.#timeoutMs = options.timeoutMs ?? DEFAULT_TIMEOUT_MS;
  }

  /** Builds a client for the log service at a URL. */
  static create(
    url: string,
    options: HttpLogClientOptions = {},
  ): HttpLogClient {
    return new HttpLogClient(url, options);
  }

  override append(
    stream: StreamName,
    values: readonly string[],
  ): ResultAsync<Offset, LogError> {
    const records = LogAppendSchema.safeParse({ records: values });
    if (!records.success) return refuse("Invalid number of records");
    const body = Buffer.from(JSON.stringify(records.data));
    if (body.length > MAX_LOG_BODY_BYTES) {
      return refuse("The append body is too large");
    }
    const req = {
      method: "POST",
      path: pathOf(stream),
      headers: { "content-type": "application/json" },
      body,
    };
    const limits = { timeoutMs: this.#timeoutMs, maxBytes: MAX_RESPONSE_BYTES };
    return this.#connections.exchange(req, limits)
      .mapErr(toUnknown)
      .andThen(toOffset);
  }

  override read(
    stream: StreamName,
    from: Offset,
    options: { limit: number; waitMs: number },
  ): ResultAsync<LogBatch, LogError> {
    const { limit, waitMs } = options;
    const query = `from=${from}&limit=${limit}&wait_ms=${waitMs}`;
    const path = `${pathOf(stream)}?${query}`;
    const timeoutMs = waitMs + this.#timeoutMs;
    return this.#connections.exchange(
      { method: "GET", path, headers: {} },
      { timeoutMs, maxBytes: MAX_RESPONSE_BYTES },
    ).mapErr(toUnknown).andThen((res) => toBatch(res, { from, limit }));
  }

  close(): Promise<void> {
    return this.#connections.close();
  }
}

function pathOf(stream: StreamName): string {
  return `/streams/${encodeURIComponent(stream)}/records`;
}

function refuse(detail: string): ResultAsync<never, LogError> {
  return errAsync({ code: "refused", detail });
}

function toUnknown(failure: HttpError): LogError {
  return { code: "unknown", detail: `${failure.code}: ${failure.detail}` };
}

function toOffset(res: HttpRes): Result<Offset, LogError> {
  if (res.status !== 200) return err(toError(res));
  return parseJsonResponse(res, LogAppendedSchema)
    .map((appended) => appended.first_offset)
    .mapErr((detail) => ({ code: "unknown", detail }));
}

function toBatch(
  res: HttpRes,
  requested: { from: Offset; limit: number },
): Result<LogBatch, LogError> {
  if (res.status === 410) return err(toGone(res));
  if (res.status !== 200) return err(toError(res));
  return parseJsonResponse(res, LogBatchSchema)
    .mapErr((detail): LogError => ({ code: "unknown", detail }))
    .andThen((batch) => checkBatch(batch, requested));
}

/** Checks that a batch starts at the requested offset, and that its offsets are consecutive and within the log. */
function checkBatch(
  batch: LogBatch,
  requested: { from: Offset; limit: number },
): Result<LogBatch, LogError> {
  const { from, limit } = requested;
  if (batch.first_offset > from) return err(gone(batch.first_offset));
  const next = from + batch.records.length;
  const dense = batch.records.every((record, i) => record.offset === from + i);
  const consistent = dense && batch.records.length <= limit &&
    batch.next_offset === next && batch.end_offset >= next;
  if (consistent) return ok(batch);
  return err({
    code: "unknown",
    detail: "The offsets of the batch are inconsistent",
  });
}

function toGone(res: HttpRes): LogError {
  return parseJsonResponse(res, LogGoneSchema).match(
    (body) => gone(body.first_offset),
    (detail) => ({ code: "unknown", detail }),
  );
}

function gone(firstOffset: Offset): LogError {
  return { code: "gone", detail: "The offset has expired", firstOffset };
}

function toError(res: HttpRes): LogError {
  const detail = `The log service answered with status ${res.status}`;
  if (!REFUSAL_STATUSES.has(res.status)) return { code: "unknown", detail };
  return { code: "refused", detail, retryAfterMs: retryAfterMs(res.headers) };
}
