import { Buffer } from "node:buffer";
import {
  type ClientRequest,
  createServer,
  type IncomingHttpHeaders,
  request,
  type Server,
} from "node:http";
import { performance } from "node:perf_hooks";
import { err, errAsync, ok, Result, ResultAsync } from "neverthrow";
import type { Millis } from "../core/time.ts";
import { unexpectedFields } from "../core/unexpected_error.ts";
import { ByteAccumulator } from "./byte_accumulator.ts";
import { isPort, splitAddress } from "./address.ts";
import { ReadFirstTimer } from "./read_first_timer.ts";

/** Default time limit of a call to a peer or the platform; a long poll adds its waiting time. */
const DEFAULT_TIMEOUT_MS: Millis = 1_000;

/** Default size limit of a response: fits a page of store records, or a configuration of thousands of routes. */
const MAX_RESPONSE_BYTES = 16 << 20;

/** Why an HTTP call got no response. */
export type HttpCallError = Readonly<{
  /** `unreachable`: no connection was made, so nothing was sent; `silent`: no complete response was received. */
  code: "silent" | "unreachable";
  detail: string;
}>;

/** A complete HTTP response. */
export type HttpResponse = Readonly<
  { status: number; headers: IncomingHttpHeaders; body: Buffer }
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
  const body = call.body === undefined ? undefined : Buffer.from(call.body);
  const opened = openRequest(call, body);
  if (opened.isErr()) return errAsync(opened.error);
  const req = opened.value;
  const done = new Promise<Result<HttpResponse, HttpCallError>>((resolve) => {
    let connected = false;
    const fail = (detail: string, code: HttpCallError["code"] = "silent") => {
      timer.stop();
      req.destroy();
      resolve(err({ code, detail }));
    };
    let receivedAt: Millis = -Infinity;
    const timer = ReadFirstTimer.start(
      () => fail("Time-out before the response was complete"),
      call.timeoutMs ?? DEFAULT_TIMEOUT_MS,
      () => receivedAt,
    );
    req.on("socket", (socket) => {
      socket.once("connect", () => connected = true);
    });
    req.on(
      "error",
      (cause) => fail(cause.message, connected ? "silent" : "unreachable"),
    );
    req.on("response", (res) => {
      const received = ByteAccumulator.create();
      const maxBytes = call.maxBytes ?? MAX_RESPONSE_BYTES;
      res.on("data", (chunk: Buffer) => {
        receivedAt = performance.now();
        received.append(chunk);
        if (received.length > maxBytes) fail("The response is too large");
      });
      res.on("error", (cause) => fail(cause.message));
      res.on("close", () => {
        if (!res.complete) return fail("The response was cut short");
        timer.stop();
        const { statusCode: status = 0, headers } = res;
        resolve(ok({ status, headers, body: received.bytes }));
      });
    });
    req.end(body);
  });
  return new ResultAsync(done);
}

/** Creates the request of a call; an address or path that no request can have fails the call before a byte is sent. */
function openRequest(
  call: HttpCall,
  body: Buffer | undefined,
): Result<ClientRequest, HttpCallError> {
  const { method, path, contentType, address } = call;
  const target = splitAddress(address);
  if (!isPort(target.port)) {
    return err({ code: "unreachable", detail: `No port in ${address}` });
  }
  const headers: Record<string, string | number> = { ...call.headers };
  if (body !== undefined) headers["content-length"] = body.length;
  if (contentType !== undefined) headers["content-type"] = contentType;
  return Result.fromThrowable(
    () => request({ ...target, method, path, headers, agent: false }),
    (cause): HttpCallError => ({
      code: "unreachable",
      detail: unexpectedFields(cause).cause,
    }),
  )();
}

/** Answers a GET request for a URL; undefined gives status 404. */
export type GetHandler = (
  url: URL,
) => Promise<GetResponse | undefined> | GetResponse | undefined;

/** The response to a GET request. */
export type GetResponse = Readonly<
  { status: number; body: string | Buffer; contentType: string }
>;

/** Starts a server that answers GET requests with small bodies; rejects if it can't listen. */
export function serveGetRequests(
  at: Readonly<{ host: string; port: number }>,
  handle: GetHandler,
): Promise<Server> {
  const server = createServer(async (req, res) => {
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
  return new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen(at, () => resolve(server));
  });
}
