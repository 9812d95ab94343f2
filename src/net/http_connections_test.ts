import { once } from "node:events";
import { createServer, type IncomingMessage, type Server } from "node:http";
import type { ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { setImmediate } from "node:timers/promises";
import { afterEach, expect, test, vi } from "vitest";
import { Relay } from "../../stand_ins/relay/relay.ts";
import { HttpConnections } from "./http_connections.ts";
import { HttpExchange } from "./http_exchange.ts";
import type { HttpReq } from "./http_message.ts";

const GET: HttpReq = { method: "GET", path: "/", headers: {} };
const POST: HttpReq = { ...GET, method: "POST", body: Uint8Array.of(1) };
const LONG_TIMEOUT = { timeoutMs: 20_000, maxBytes: 1_000 };
const SHORT_TIMEOUT = { timeoutMs: 500, maxBytes: 1_000 };

const closers: (() => unknown)[] = [];

afterEach(async () => {
  for (const close of closers.splice(0).reverse()) await close();
});

async function startServer(
  answer: (res: ServerResponse, req: IncomingMessage) => void,
): Promise<{ server: Server; address: string }> {
  const server = createServer((req, res) => answer(res, req));
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  closers.push(() => server.close(), () => server.closeAllConnections());
  const { port } = server.address() as AddressInfo;
  return { server, address: `127.0.0.1:${port}` };
}

function connections(
  address: string,
  options: { reuse: boolean; maxCalls?: number },
): HttpConnections {
  const created = HttpConnections.create({
    url: `http://${address}/base/`,
    ...options,
  });
  closers.push(() => created.close());
  return created;
}

/** Waits until undici has returned the connections of finished calls to its pool. */
async function waitForIdleConnections(): Promise<void> {
  for (let turn = 0; turn < 3; turn += 1) await setImmediate();
}

test.each([[true, 1], [false, 3]])(
  "with reuse %s three calls open %i connections",
  async (reuse, expected) => {
    const { server, address } = await startServer((res) => res.end("ok"));
    let opened = 0;
    server.on("connection", () => opened += 1);
    const client = connections(address, { reuse });
    for (let call = 0; call < 3; call += 1) {
      expect((await client.exchange(POST, LONG_TIMEOUT)).isOk()).toBe(true);
      await waitForIdleConnections();
    }
    expect(opened).toBe(expected);
  },
);

test.each([GET, POST])(
  "$method: a call fails without a retry when its reused connection closes during the call",
  async (req) => {
    let received = 0;
    const { address } = await startServer((res, { socket }) => {
      received += 1;
      if (received === 1) res.end("ok");
      else socket.destroy();
    });
    const client = connections(address, { reuse: true });
    await client.exchange(req, LONG_TIMEOUT);
    await waitForIdleConnections();
    const failure = (await client.exchange(req, LONG_TIMEOUT))
      ._unsafeUnwrapErr();
    expect([failure.code, failure.sent, received]).toEqual(["broken", true, 2]);
  },
);

test("a connection that the server closed while idle is not reused", async () => {
  const { server, address } = await startServer((res) => res.end("ok"));
  const client = connections(address, { reuse: true });
  await client.exchange(POST, LONG_TIMEOUT);
  await waitForIdleConnections();
  server.closeIdleConnections();
  const failure = (await client.exchange(POST, LONG_TIMEOUT)).isErr();
  expect(failure).toBe(false);
});

test("after a call on a reused connection has timed out, the next call opens a new connection", async () => {
  const { address } = await startServer((res) =>
    setTimeout(() => res.end(), 50)
  );
  const relay = Relay.create({ target: address });
  const client = connections(await relay.listen(), { reuse: true });
  closers.push(() => relay.close());
  await Promise.all([1, 2, 3].map(() => client.exchange(GET, LONG_TIMEOUT)));
  await waitForIdleConnections();
  expect(relay.freezeOpen()).toBe(3);
  const silent = (await client.exchange(GET, SHORT_TIMEOUT))._unsafeUnwrapErr();
  expect([silent.code, silent.sent]).toEqual(["silent", true]);
  expect((await client.exchange(GET, LONG_TIMEOUT)).isOk()).toBe(true);
});

test("the path of a call is appended to the server's base path", async () => {
  const { address } = await startServer((res, req) => res.end(req.url));
  const client = connections(address, { reuse: true });
  const res = (await client.exchange(GET, LONG_TIMEOUT))._unsafeUnwrap();
  expect(String(res.body)).toBe("/base/");
});

test("a call to a malformed URL fails unsent", async () => {
  const client = connections("no port:x", { reuse: false });
  expect((await client.exchange(GET, LONG_TIMEOUT))._unsafeUnwrapErr())
    .toMatchObject({ code: "connect_failed", sent: false });
});

test("calls beyond the limit fail unsent", async () => {
  const { address } = await startServer(() => {});
  const client = connections(address, { reuse: true, maxCalls: 1 });
  const first = client.exchange(GET, SHORT_TIMEOUT);
  expect((await client.exchange(GET, LONG_TIMEOUT))._unsafeUnwrapErr())
    .toMatchObject({ code: "overloaded", sent: false });
  expect((await first)._unsafeUnwrapErr().code).toBe("silent");
});

test("a call that timed out before it got a connection is never sent", () => {
  vi.useFakeTimers();
  const settle = vi.fn();
  const exchange = HttpExchange.create("POST", {
    limits: { connectMs: 100, timeoutMs: 1_000, maxBytes: 1 },
    listener: { settle, finish: () => {} },
  });
  exchange.start();
  vi.advanceTimersByTime(100);
  vi.useRealTimers();
  const controller = { abort: vi.fn() };
  exchange.onRequestStart(controller as never);
  expect(controller.abort).toHaveBeenCalledOnce();
  expect(settle.mock.calls[0]![0].error).toMatchObject({
    code: "connect_failed",
    sent: false,
  });
});

test("a call is never sent a second time", () => {
  const exchange = HttpExchange.create("POST", {
    limits: { connectMs: 100, timeoutMs: 1_000, maxBytes: 1 },
    listener: { settle: () => {}, finish: () => {} },
  });
  const controller = { abort: vi.fn() };
  exchange.onRequestStart(controller as never);
  expect(controller.abort).not.toHaveBeenCalled();
  exchange.onRequestStart(controller as never);
  expect(controller.abort).toHaveBeenCalledOnce();
});
