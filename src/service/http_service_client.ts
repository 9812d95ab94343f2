import { err, ok, type Result, type ResultAsync } from "neverthrow";
import type { Millis } from "../core/time.ts";
import { HttpConnections } from "../net/http_connections.ts";
import {
  headerOf,
  type HttpError,
  type HttpRes,
  retryAfterMs,
} from "../net/http_message.ts";
import {
  IDEMPOTENCY_KEY_HEADER,
  NOT_STARTED_HEADER,
  REQUEST_ID_HEADER,
} from "../wire/service.ts";
import {
  type ServiceCall,
  ServiceClient,
  type ServiceError,
  type ServiceResponse,
} from "./service_client.ts";

const DEFAULT_CONTENT_TYPE = "application/octet-stream";
const FIRST_ERROR_STATUS = 400;

/** Connection options of an instance of a plain service. */
export type HttpServiceClientOptions = Readonly<{
  connectMs?: Millis;
  /** Limit of concurrent calls; further calls are refused. */
  maxCalls?: number;
}>;

/** Client of a plain service over HTTP; each call opens its own connection. */
export class HttpServiceClient extends ServiceClient {
  readonly #connections: HttpConnections;

  private constructor(address: string, options: HttpServiceClientOptions) {
    super();
    this.#connections = HttpConnections.create({
      ...options,
      url: `http://${address}`,
      reuse: false,
    });
  }

  /** Builds a client for the instance at `host:port`. */
  static create(
    address: string,
    options: HttpServiceClientOptions = {},
  ): HttpServiceClient {
    return new HttpServiceClient(address, options);
  }

  override call(
    call: ServiceCall,
    options: { timeoutMs: Millis; maxBytes: number },
  ): ResultAsync<ServiceResponse, ServiceError> {
    const { method, path, body } = call;
    const req = { method, path, headers: headersOf(call), body };
    return this.#connections.exchange(req, options)
      .mapErr(toServiceError)
      .andThen(toServiceResponse);
  }

  override close(): Promise<void> {
    return this.#connections.close();
  }
}

function headersOf(call: ServiceCall): Record<string, string> {
  const headers: Record<string, string> = { [REQUEST_ID_HEADER]: call.request };
  if (call.key !== undefined) headers[IDEMPOTENCY_KEY_HEADER] = call.key;
  if (call.contentType !== undefined) {
    headers["content-type"] = call.contentType;
  }
  return headers;
}

function toServiceResponse(
  res: HttpRes,
): Result<ServiceResponse, ServiceError> {
  const { status, headers, body } = res;
  const notStarted = headers[NOT_STARTED_HEADER] !== undefined;
  if (notStarted && status >= FIRST_ERROR_STATUS) {
    return err({
      code: "refused",
      verdict: "not_run",
      detail: `The service refused the call with status ${status}`,
      retryAfterMs: retryAfterMs(headers),
    });
  }
  const contentType = headerOf(headers, "content-type") ?? DEFAULT_CONTENT_TYPE;
  return ok({ status, contentType, body });
}

function toServiceError(failure: HttpError): ServiceError {
  return {
    code: toServiceErrorCode(failure.code),
    verdict: failure.sent ? "may_have_run" : "not_run",
    detail: failure.detail,
  };
}

function toServiceErrorCode(code: HttpError["code"]): ServiceError["code"] {
  switch (code) {
    case "overloaded":
    case "invalid":
      return "refused";
    default:
      return code;
  }
}
