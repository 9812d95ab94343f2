import { once } from "node:events";
import { RESPONSE_ALREADY_SENT } from "@hono/node-server/utils/response";
import type { HostContext } from "./http_host.ts";

/** Resets the connection of a call; the client gets no answer. */
export function resetConnection(c: HostContext): Response {
  c.env.incoming.socket.resetAndDestroy();
  return RESPONSE_ALREADY_SENT;
}

/** Resets the connection of a call once a part of its body has arrived. */
export async function resetInBody(c: HostContext): Promise<Response> {
  await once(c.env.incoming, "data");
  return resetConnection(c);
}

/** Reads a body to its end; closing over unread bytes would reset the connection and lose the answer. */
export async function skipBody(c: HostContext): Promise<void> {
  c.env.incoming.resume();
  if (!c.env.incoming.readableEnded) await once(c.env.incoming, "end");
}

/** Closes the connection of a call in an orderly way; the client gets no answer. */
export function closeConnection(c: HostContext): Response {
  c.env.incoming.socket.end();
  return RESPONSE_ALREADY_SENT;
}

/** Never answers; the connection stays open. */
export function staySilent(): Promise<Response> {
  return new Promise(() => {});
}

/** Sends the head and half of a JSON answer, then resets the connection. */
export function answerHalf(c: HostContext, body: unknown): Response {
  const text = JSON.stringify(body);
  const res = c.env.outgoing;
  res.writeHead(200, {
    "content-type": "application/json",
    "content-length": text.length,
  });
  res.write(text.slice(0, text.length / 2), () => {
    c.env.incoming.socket.resetAndDestroy();
  });
  return RESPONSE_ALREADY_SENT;
}

/** Sends half of a body that has neither a length nor chunks, then closes. */
export function answerUnframed(c: HostContext, body: unknown): Response {
  const text = JSON.stringify(body);
  const half = text.slice(0, text.length / 2);
  c.env.incoming.socket.end(
    `HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n\r\n${half}`,
  );
  return RESPONSE_ALREADY_SENT;
}

/** Sends something that is not HTTP, then closes. */
export function answerGarbage(c: HostContext): Response {
  c.env.incoming.socket.end("not an answer\r\n\r\n");
  return RESPONSE_ALREADY_SENT;
}

/** Resolves after `ms` milliseconds. */
export function pause(ms: number): Promise<void> {
  if (ms === 0) return Promise.resolve();
  return new Promise((resolve) => setTimeout(resolve, ms));
}
