import type { IncomingMessage } from "node:http";

const BODYLESS_STATUSES = new Set([204, 304]);

/** Whether only the end of its connection ends an answer's body. */
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
 * Tells whether the connection of an undelimited answer was closed rather than reset. When data and a reset arrive
 * together, libuv reports the end of the stream and not the error; the error shows when something is written.
 * The socket must allow half-open connections.
 */
export function closedCleanly(res: IncomingMessage): Promise<boolean> {
  return new Promise((resolve) => {
    const { socket } = res;
    socket.prependOnceListener("end", () => {
      // An empty line: whoever still reads ignores it before a request.
      socket.write("\r\n", (err) => resolve(err === null || err === undefined));
    });
    socket.once("close", (failed) => resolve(!failed));
  });
}
