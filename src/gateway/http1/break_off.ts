import type { ServerResponse } from "node:http";

/**
 * Ends a response's connection at once, so that the client sees that the response is incomplete. HTTP/1.0 has no chunks:
 * without a length, the end of the connection is the end of the body, and only a reset tells otherwise.
 */
export function breakOff(res: ServerResponse): void {
  const { socket, headersSent, req } = res;
  const mayLookWhole = headersSent && req.httpVersionMajor === 1 &&
    req.httpVersionMinor === 0;
  if (mayLookWhole && socket !== null) socket.resetAndDestroy();
  else res.destroy();
}
