import { Buffer } from "node:buffer";
import {
  createServer,
  type IncomingHttpHeaders,
  request,
  type Server,
} from "node:http";
import { err, ok, type Result, ResultAsync } from "neverthrow";
import type { Millis } from "../core/time.ts";
import { splitAddress } from "./address.ts";

/** Time for an answer of a peer or of the platform beside what it may wait. */
const DEFAULT_TIMEOUT_MS: Millis = 1_000;

/** Largest answer of a peer or of the platform's store: a page of records, or a configuration of thousands of routes. */
const MAX_ANSWER_BYTES = 16 << 20;

/** Why a plain call got no answer. */
export type HttpCallError = Readonly<{
  /** `unreachable`: there was no connection, so that nothing was sent. */
  code: "silent" | "unreachable";
  detail: string;
}>;

/** A whole answer. */
export type HttpResponse = Readonly<
  { status: number; headers: IncomingHttpHeaders; body: Buffer }
>;

/** A plain call: no retry, a connection of its own, one time limit for everything. */
export type HttpCall = Readonly<{
  method: string;
  address: string;
  path: string;
  body?: Buffer | string;
  contentType?: string;
  /** Further headers. */
  headers?: Readonly<Record<string, string | number>>;
  timeoutMs?: Millis;
  /** Bytes after which an answer is none: a server in trouble may send without end. */
  maxBytes?: number;
}>;

/** Sends a plain call; a connection of its own can't have gone silent before. */
export function sendHttpCall(
  call: HttpCall,
): ResultAsync<HttpResponse, HttpCallError> {
  const body = call.body === undefined ? undefined : Buffer.from(call.body);
  const headers: Record<string, string | number> = { ...call.headers };
  if (body !== undefined) headers["content-length"] = body.length;
  if (call.contentType !== undefined) {
    headers["content-type"] = call.contentType;
  }
  const done = new Promise<Result<HttpResponse, HttpCallError>>((resolve) => {
    let connected = false;
    const fail = (detail: string, code: HttpCallError["code"] = "silent") => {
      clearTimeout(timer);
      req.destroy();
      resolve(err({ code, detail }));
    };
    const timer = setTimeout(
      () => fail("No whole answer in time"),
      call.timeoutMs ?? DEFAULT_TIMEOUT_MS,
    );
    const req = request({
      ...splitAddress(call.address),
      method: call.method,
      path: call.path,
      headers,
      agent: false,
    });
    req.on("socket", (socket) => {
      socket.once("connect", () => connected = true);
    });
    req.on(
      "error",
      (cause) => fail(cause.message, connected ? "silent" : "unreachable"),
    );
    req.on("response", (res) => {
      const chunks: Buffer[] = [];
      const maxBytes = call.maxBytes ?? MAX_ANSWER_BYTES;
      let bytes = 0;
      res.on("data", (chunk: Buffer) => {
        bytes += chunk.length;
        if (bytes > maxBytes) return fail("The answer is too large");
        chunks.push(chunk);
      });
      res.on("error", (cause) => fail(cause.message));
      res.on("close", () => {
        if (!res.complete) return fail("The answer broke off");
        clearTimeout(timer);
        const { statusCode: status = 0, headers } = res;
        resolve(ok({ status, headers, body: Buffer.concat(chunks) }));
      });
    });
    req.end(body);
  });
  return new ResultAsync(done);
}

/** What a small server answers to a path with its query; nothing for an unknown one. */
export type GetHandler = (
  url: URL,
) => Promise<GetAnswer | undefined> | GetAnswer | undefined;

/** The answer of a small server. */
export type GetAnswer = Readonly<
  { status: number; body: string | Buffer; contentType: string }
>;

/** Serves short answers to GET requests. */
export function serveGetRequests(
  at: Readonly<{ host: string; port: number }>,
  handle: GetHandler,
): Promise<Server> {
  const server = createServer(async (req, res) => {
    const url = URL.parse(req.url ?? "/", "http://daemon");
    const answer = url === null ? undefined : await handle(url);
    const { status, body, contentType } = answer ??
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
