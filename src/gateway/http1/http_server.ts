import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerOptions,
  type ServerResponse,
} from "node:http";
import type { Socket } from "node:net";
import { hasInvalidHeader } from "./header_syntax.ts";
import { requestFramingError } from "./framing.ts";

/** Code of a `clientError` for a request whose target no URL has. */
export const INVALID_TARGET = "HPE_INVALID_URL";
/** Code of a `clientError` for bytes behind a request that closes its connection. */
export const DATA_AFTER_CLOSE = "HPE_CLOSED_CONNECTION";

const TARGET = /^[\x21-\x7e]+$/;

/** Handles a request. */
export type ServeRequest = (req: IncomingMessage, res: ServerResponse) => void;

/**
 * Creates an HTTP server that serves the same requests on each release of Node.js: what a stricter parser reports as a
 * `clientError`, it reports itself where the parser passes it on. Requests with an expectation are served as others.
 */
export function createHttpServer(
  options: ServerOptions,
  serve: ServeRequest,
): Server {
  const server = createServer({ insecureHTTPParser: false, ...options });
  /** Connections whose last request was read. */
  const ended = new WeakSet<Socket>();
  const serveSound: ServeRequest = (req, res) => {
    const { socket } = req;
    const isBehindLast = ended.has(socket);
    const error = isBehindLast
      ? { code: DATA_AFTER_CLOSE, detail: "Data after the last request" }
      : requestError(req);
    if (error !== undefined || !res.shouldKeepAlive) ended.add(socket);
    if (error === undefined) return serve(req, res);
    req.resume();
    const { code, detail } = error;
    const cause = Object.assign(new Error(detail), { code });
    server.emit("clientError", cause, socket);
  };
  server.on("request", serveSound);
  // Without a listener, an expectation other than a go-ahead would be answered with 417.
  server.on("checkExpectation", serveSound);
  return server;
}

/** Why a request can't be served, with the code by which a strict parser reports it. */
function requestError(
  { url = "", rawHeaders }: IncomingMessage,
): Readonly<{ code: string; detail: string }> | undefined {
  if (!TARGET.test(url)) {
    return { code: INVALID_TARGET, detail: "The target is invalid" };
  }
  if (hasInvalidHeader(rawHeaders)) {
    return { code: "HPE_INVALID_HEADER_TOKEN", detail: "A header is invalid" };
  }
  const detail = requestFramingError(rawHeaders);
  if (detail === undefined) return undefined;
  return { code: "HPE_INVALID_TRANSFER_ENCODING", detail };
}
