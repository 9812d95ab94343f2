import { Buffer } from "node:buffer";
import { type Server, STATUS_CODES } from "node:http";
import type { Socket } from "node:net";
import { performance } from "node:perf_hooks";
import { err, errAsync, ok, Result, ResultAsync } from "neverthrow";
import type { Millis } from "../core/time.ts";
import { unexpectedFields } from "../core/unexpected_error.ts";
import { ByteAccumulator } from "./byte_accumulator.ts";
import type { GetServerGuard } from "./get_server_guard.ts";
import { isPort, splitAddress } from "./address.ts";
import { headerValues } from "./http1/header_syntax.ts";
import {
  createHttpServer,
  DATA_AFTER_CLOSE,
  INVALID_TARGET,
} from "./http1/http_server.ts";
import {
  type OutgoingMessage,
  OutgoingRequest,
} from "./http1/outgoing_request.ts";
import type { ParsedHead } from "./http1/response_parser.ts";
import { connectTo } from "./requests/upstream_connection.ts";
import { ReadFirstTimer } from "./read_first_timer.ts";

/** Default time limit of a call to a peer or the platform; a long poll adds its waiting time. */
const DEFAULT_TIMEOUT_MS: Millis = 1_000;

/** Default size limit of a response: fits a page of store records, or a configuration of thousands of routes. */
const MAX_RESPONSE_BYTES = 16 << 20;
/** Largest head of a response. */
const MAX_HEAD_BYTES = 16 * 1024;
/** Methods whose requests need no length if they have no body. */
const BODYLESS_METHODS = new Set(["GET", "HEAD", "DELETE", "OPTIONS"]);

/** Why an HTTP call got no response. */
export type HttpCallError = Readonly<{
  /** `unreachable`: no connection was made, so nothing was sent; `silent`: no complete response was received. */
  code: "silent" | "unreachable";
  detail: string;
}>;

/** A complete HTTP response. */
export type HttpResponse = Readonly<
  { status: number; headers: Readonly<Record<string, string>>; body: Buffer }
>;

/** An HTTP call without retries, on its own connection, with one time limit for the whole call. */
export type HttpCall = Readonly<{
  method: string;
  /** `host:port`. */
  address: string;
  path: string;
  body?: Buffer | string;
  contentType?: string;
  /** Additional headers. */
  headers?: Readonly<Record<string, string | number>>;
  timeoutMs?: Millis;
  /** Size limit of the response's body: a faulty server may send without end. */
  maxBytes?: number;
}>;

/** Sends an HTTP call on a new connection, since an idle pooled connection may be dead without notice. */
export function sendHttpCall(
  call: HttpCall,
): ResultAsync<HttpResponse, HttpCallError> {
  if (!isPort(splitAddress(call.address).port)) {
    return errAsync(unreachable(`No port in ${call.address}`));
  }
  const done = new Promise<Result<HttpResponse, HttpCallError>>((resolve) => {
    const received = ByteAccumulator.create();
    let receivedAt: Millis = -Infinity;
    let head: ParsedHead | undefined;
    let code: HttpCallError["code"] = "unreachable";
    const settle = (result: Result<HttpResponse, HttpCallError>) => {
      timer.stop();
      req.map((opened) => opened.destroy());
      resolve(result);
    };
    const fail = (detail: string) => settle(err({ code, detail }));
    const req = OutgoingRequest.create(messageOf(call), {
      onSent: () => code = "silent",
      onHead: (responseHead) => head = responseHead,
      onData: (bytes) => {
        receivedAt = performance.now();
        received.append(bytes);
        const maxBytes = call.maxBytes ?? MAX_RESPONSE_BYTES;
        if (received.length > maxBytes) fail("The response is too large");
      },
      onEnd: () => {
        const { status = 0, rawHeaders = [] } = head ?? {};
        const headers = headerRecord(rawHeaders);
        settle(ok({ status, headers, body: received.bytes }));
      },
      onFailure: (cause) => fail(cause.message),
    });
    const timer = ReadFirstTimer.start(
      () => {
        code = "silent";
        fail("Time-out before the response was complete");
      },
      call.timeoutMs ?? DEFAULT_TIMEOUT_MS,
      () => receivedAt,
    );
    if (req.isErr()) return fail(req.error);
    const socket = openSocket(call.address);
    if (socket.isErr()) return fail(socket.error);
    req.value.send(socket.value);
  });
  return new ResultAsync(done);
}

function unreachable(detail: string): HttpCallError {
  return { code: "unreachable", detail };
}

/** Starts to connect to an address, which may be one that no socket can have. */
function openSocket(address: string): Result<Socket, string> {
  return Result.fromThrowable(
    () => connectTo(address),
    (cause) => unexpectedFields(cause).cause,
  )();
}

function messageOf(call: HttpCall): OutgoingMessage {
  const { method, path, address, contentType } = call;
  const body = call.body === undefined ? undefined : Buffer.from(call.body);
  const hasLength = body !== undefined || !BODYLESS_METHODS.has(method);
  const own = Object.entries(call.headers ?? {})
    .map(([name, value]) => [name.toLowerCase(), value] as const);
  const headers = Object.entries({
    host: address,
    ...(contentType === undefined ? {} : { "content-type": contentType }),
    ...Object.fromEntries(own),
    ...(hasLength ? { "content-length": body?.length ?? 0 } : {}),
    connection: "close",
  }).flatMap(([name, value]) => [name, String(value)]);
  return { method, path, headers, body, maxHeadBytes: MAX_HEAD_BYTES };
}

/** Headers by their names in lower case; values of the same name are joined. */
function headerRecord(
  rawHeaders: readonly string[],
): Readonly<Record<string, string>> {
  const names = rawHeaders.filter((_, i) => i % 2 === 0)
    .map((name) => name.toLowerCase());
  const entries = names.map((name) =>
    [name, headerValues(rawHeaders, name).join(", ")] as const
  );
  return Object.fromEntries(entries);
}

/** Answers a GET request for a URL; undefined gives status 404. */
export type GetHandler = (
  url: URL,
) => Promise<GetResponse | undefined> | GetResponse | undefined;

/** The response to a GET request. */
export type GetResponse = Readonly<
  { status: number; body: string | Buffer; contentType: string }
>;

/** Statuses of what can't be read as a request, by the code of its error. */
const CLIENT_ERROR_STATUSES: Readonly<Record<string, number>> = {
  [INVALID_TARGET]: 404,
  ERR_HTTP_REQUEST_TIMEOUT: 408,
  HPE_HEADER_OVERFLOW: 431,
};

/** Starts a server that answers GET requests, with its connections in a guard; rejects if it can't listen. */
export function serveGetRequests(
  at: Readonly<{ host: string; port: number }>,
  handle: GetHandler,
  options: Readonly<{ guard?: GetServerGuard }> = {},
): Promise<Server> {
  const server = createHttpServer({}, async (req, res) => {
    const url = URL.parse(req.url ?? "/", "http://daemon");
    const response = url === null ? undefined : await handle(url);
    const { status, body, contentType } = response ??
      { status: 404, body: "", contentType: "text/plain" };
    res.writeHead(status, {
      "content-type": contentType,
      "content-length": Buffer.byteLength(body),
    });
    res.end(body);
  });
  server.on("clientError", (cause: NodeJS.ErrnoException, socket) => {
    const { code = "" } = cause;
    // The response to the request before ends the connection.
    if (code === DATA_AFTER_CLOSE) return;
    if (!socket.writable) return void socket.destroy();
    const status = CLIENT_ERROR_STATUSES[code] ?? 400;
    socket.end(
      `HTTP/1.1 ${status} ${STATUS_CODES[status]}\r\n` +
        "Content-Length: 0\r\nConnection: close\r\n\r\n",
      () => socket.destroy(),
    );
  });
  options.guard?.guard(server);
  return new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen(at, () => resolve(server));
  });
}
