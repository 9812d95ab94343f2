import type { IncomingMessage } from "node:http";

const BODYLESS_STATUSES = new Set([204, 304]);

/** Whether a response's body is delimited only by the end of its connection. */
export function isCloseDelimited(
  res: IncomingMessage,
  method: string,
): boolean {
  if (method === "HEAD" || BODYLESS_STATUSES.has(res.statusCode ?? 0)) {
    return false;
  }
  return res.headers["content-length"] === undefined &&
    res.headers["transfer-encoding"] === undefined;
}

/**
 * Resolves with whether the connection of a close-delimited response was closed rather than reset. When data and a
 * reset arrive together, libuv reports the end of the stream and not the error; a write then reveals the error.
 * The socket must allow half-open connections.
 */
export function closedCleanly(res: IncomingMessage): Promise<boolean> {
  return new Promise((resolve) => {
    const { socket } = res;
    socket.prependOnceListener("end", () => {
      // HTTP servers ignore an empty line before a request.
      socket.write("\r\n", (err) => resolve(err === null || err === undefined));
    });
    socket.once("close", (failed) => resolve(!failed));
  });
}
