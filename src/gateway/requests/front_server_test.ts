import { Buffer } from "node:buffer";
import {
  createServer,
  type IncomingMessage,
  request,
  type Server,
  type ServerResponse,
} from "node:http";
import { type AddressInfo, connect } from "node:net";
import { afterEach, beforeEach, describe, expect, test } from "vitest";
import { PlatformDialect } from "../../../platform/wire/dialect.ts";
import { addMs, type Timestamp } from "../../core/time.ts";
import {
  createFakePort,
  servingWithRoutes,
} from "../../testing/fake_gateway_port.ts";
import { Stopwatch } from "../../testing/stopwatch.ts";
import { FrontServer } from "./front_server.ts";
import { RouteTable } from "../serving/route_table.ts";
import type { Route } from "../serving/serving_config.ts";

/** How long after a time-out the platform still accepts the final response. */
const LATE_MS = 500;
/** Time from SIGTERM until open requests are cut. */
const DRAIN_MS = 7_200;
/** Most bytes of a body that a test's client keeps; it counts the rest. */
const MAX_KEPT_BYTES = 1 << 20;

type Handler = (
  req: IncomingMessage,
  res: ServerResponse,
  body: string,
) => void;

let upstreams: Server[] = [];
let front: FrontServer;
let port = 0;
let fake: ReturnType<typeof createFakePort>;
let routes: RouteTable | undefined;
let drainingSince: Timestamp | undefined;
let seen: { headers: IncomingMessage["headers"]; body: string; url: string }[] =
  [];

async function start(
  handlers: readonly Handler[],
  fields: Partial<Route> = {},
): Promise<void> {
  const addresses: string[] = [];
  for (const handle of handlers) {
    const server = createServer((req, res) => {
      let body = "";
      req.on("data", (chunk) => body += chunk);
      req.on("end", () => {
        seen.push({ headers: req.headers, body, url: req.url ?? "" });
        res.setHeader("X-Request-Id", String(req.headers["x-request-id"]));
        handle(req, res, body);
      });
    });
    upstreams.push(server);
    await new Promise<void>((resolve) =>
      server.listen(0, "127.0.0.1", resolve)
    );
    addresses.push(`127.0.0.1:${(server.address() as AddressInfo).port}`);
  }
  fake = createFakePort(PlatformDialect.create(), addresses);
  routes = RouteTable.create(servingWithRoutes(fields));
  front = FrontServer.create(fake, {
    routes: () => routes,
    drain: () =>
      drainingSince === undefined
        ? undefined
        : { since: drainingSince, endsAt: addMs(drainingSince, DRAIN_MS) },
  });
  port = await freePort();
  await front.listen("127.0.0.1", port);
}

async function freePort(): Promise<number> {
  const server = createServer();
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port: free } = server.address() as AddressInfo;
  await new Promise<void>((resolve) => server.close(() => resolve()));
  return free;
}

beforeEach(() => {
  upstreams = [];
  seen = [];
  routes = undefined;
  drainingSince = undefined;
});
afterEach(() => {
  front.close();
  for (const server of upstreams) {
    server.closeAllConnections();
    server.close();
  }
});

type ReceivedResponse = {
  status: number;
  headers: IncomingMessage["headers"];
  /** The body's start, which is all of a body of up to `MAX_KEPT_BYTES`. */
  body: string;
  bodyBytes: number;
  complete: boolean;
};

function send(
  path: string,
  options: {
    method?: string;
    headers?: Record<string, string>;
    body?: string | Buffer;
  } = {},
): Promise<ReceivedResponse> {
  return new Promise((resolve, reject) => {
    const req = request({
      host: "127.0.0.1",
      port,
      path,
      method: options.method ?? "POST",
      agent: false,
      headers: {
        host: "h.example",
        "x-request-id": "r1",
        "x-deadline-ms": "900",
        authorization: "Bearer key-1",
        ...options.headers,
      },
    }, (res) => {
      let body = "";
      let bodyBytes = 0;
      res.on("data", (chunk: Buffer) => {
        bodyBytes += chunk.length;
        if (bodyBytes <= MAX_KEPT_BYTES) body += chunk;
      });
      res.on("error", () => {});
      res.on("close", () =>
        resolve({
          status: res.statusCode ?? 0,
          headers: res.headers,
          body,
          bodyBytes,
          complete: res.complete,
        }));
    });
    req.on("error", reject);
    req.end(options.body);
  });
}

function respond(res: ServerResponse, body: string, status = 200): void {
  res.writeHead(status, {
    "X-Response-Seal": "seal",
    "Content-Length": body.length,
  });
  res.end(body);
}

function sendEvents(res: ServerResponse, ids: readonly number[]): void {
  res.writeHead(200, {
    "X-Response-Seal": "seal",
    "Content-Type": "text/event-stream",
  });
  for (const id of ids) res.write(`id: ${id}\ndata: ${id}\n\n`);
}

describe("forwarding", () => {
  test("method, path, body and the client's headers are forwarded, not hop-by-hop or system headers", async () => {
    await start([(_req, res) => respond(res, "fine")]);
    const res = await send("/lookup/a%20b?x=1", {
      headers: {
        "x-custom": "kept",
        "x-tenant": "forged",
        "x-helper-nodes": "10.0.0.1:1",
        "keep-alive": "timeout=5",
      },
      body: "bytes",
    });
    expect([res.status, res.body, res.headers["x-response-seal"]])
      .toEqual([200, "fine", "seal"]);
    const [received] = seen;
    expect(received?.url).toBe("/lookup/a%20b?x=1");
    expect(received?.body).toBe("bytes");
    expect(received?.headers["x-custom"]).toBe("kept");
    expect(received?.headers["x-tenant"]).toBe("makers");
    expect(received?.headers["x-helper-nodes"]).toBeUndefined();
    expect(received?.headers.authorization).toBeUndefined();
    expect(received?.headers["x-expect-instance"]).toBe("e0");
    expect(Number(received?.headers["x-deadline-ms"])).toBeLessThanOrEqual(900);
  });

  test("an upstream's 500 for a request that must not be repeated is forwarded", async () => {
    await start([(_req, res) => respond(res, "broken", 500)]);
    const res = await send("/reserve/x");
    expect([res.status, res.body]).toEqual([500, "broken"]);
    expect(seen).toHaveLength(1);
  });
});

describe("rejected at once", () => {
  const ok: Handler = (_req, res) => respond(res, "fine");

  test.each([
    ["an unknown path", "/none/x", {}, 404],
    ["another host", "/lookup/x", { host: "other.example" }, 404],
    ["an unknown key", "/lookup/x", { authorization: "Bearer no" }, 401],
    ["no key", "/lookup/x", { authorization: "" }, 401],
    [
      "a head that is too large",
      "/lookup/x",
      { "x-big": "y".repeat(17_000) },
      431,
    ],
    [
      "a body whose length is too large",
      "/lookup/x",
      { "content-length": "5000000" },
      413,
    ],
  ])("%s", async (_name, path, headers, status) => {
    await start([ok]);
    const res = await send(path, { headers, method: "GET" }).catch(() => ({
      status,
    }));
    expect(res.status).toBe(status);
    expect(seen).toEqual([]);
  });

  test("a public route needs no key, and an unknown key sets no team", async () => {
    await start([ok]);
    const headers = { authorization: "Bearer no", "x-tenant": "forged" };
    expect((await send("/public/x", { headers })).status).toBe(200);
    expect(seen[0]?.headers["x-tenant"]).toBeUndefined();
  });

  test("all requests before a configuration is loaded, with a Retry-After", async () => {
    await start([ok]);
    routes = undefined;
    const res = await send("/lookup/x");
    expect([res.status, res.headers["retry-after"]]).toEqual([503, "0.50"]);
  });

  test("all requests after the drain grace period", async () => {
    await start([ok]);
    drainingSince = (performance.now() - 4_000) as Timestamp;
    const res = await send("/lookup/x");
    expect([res.status, res.headers.connection]).toEqual([503, "close"]);
    drainingSince = (performance.now() - 1_000) as Timestamp;
    expect((await send("/lookup/x")).status).toBe(200);
  });

  test.each([
    ["two lengths", "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabc"],
    [
      "a length beside chunks",
      "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    ],
    ["a broken header", "Bad Header: x\r\n\r\n"],
  ])("ambiguous framing: %s", async (_name, rest) => {
    await start([ok]);
    const text = await new Promise<string>((resolve) => {
      const socket = connect(port, "127.0.0.1");
      let got = "";
      socket.on("data", (chunk) => got += chunk);
      socket.on("error", () => {});
      socket.on("close", () => resolve(got));
      socket.write(
        "POST /lookup/x HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: r1\r\n" +
          `Authorization: Bearer key-1\r\n${rest}`,
      );
    });
    expect(text.startsWith("HTTP/1.1 400")).toBe(true);
    expect(seen).toEqual([]);
  });
});

describe("upstream failures", () => {
  test("a repeatable request is retried on another upstream", async () => {
    await start([
      (_req, res) => respond(res, "broken", 500),
      (_req, res) => respond(res, "fine"),
    ]);
    const res = await send("/lookup/x");
    expect([res.status, res.body]).toEqual([200, "fine"]);
  });

  test("a request that must not be repeated ends in 502 once a byte was sent", async () => {
    await start([
      (req) => req.socket.destroy(),
      (_req, res) => respond(res, "fine"),
    ]);
    const res = await send("/reserve/x");
    expect(res.status).toBe(502);
    expect(seen).toHaveLength(1);
    expect(fake.recorded.problems).toEqual(["upstream_failed may_have_run"]);
  });

  test("a request that must not be repeated is retried if the first upstream has not run it", async () => {
    await start([
      (_req, res) => {
        res.writeHead(503, { "X-Not-Executed": "1" });
        res.end();
      },
      (_req, res) => respond(res, "fine"),
    ]);
    expect((await send("/reserve/x")).body).toBe("fine");
  });

  test("a response without a digest ends in 502", async () => {
    await start([(_req, res) => res.end("who knows")]);
    expect((await send("/reserve/x")).status).toBe(502);
  });

  test("an unbounded response is cut at the route's time-out, and the upstream's connection closed", async () => {
    let closed = false;
    const block = Buffer.alloc(65_536, "x");
    await start([(req, res) => {
      res.writeHead(200, { "X-Response-Seal": "seal" });
      const more = () => {
        while (!closed && res.write(block));
      };
      res.on("drain", more);
      req.socket.on("close", () => closed = true);
      more();
    }], { timeoutMs: 1_000 });
    const watch = Stopwatch.start();
    const res = await send("/reserve/x", {
      headers: { "x-deadline-ms": "5000" },
    });
    expect(res.complete).toBe(false);
    expect(res.bodyBytes).toBeGreaterThan(MAX_KEPT_BYTES);
    expect(await watch.stop()).toBeLessThan(1_000 + LATE_MS);
    expect(closed).toBe(true);
  });

  test("a silent upstream gives 504 at the route's time-out if the request must not be repeated", async () => {
    await start([() => {}], { timeoutMs: 200 });
    const watch = Stopwatch.start();
    const res = await send("/reserve/x");
    expect(res.status).toBe(504);
    expect(await watch.stop()).toBeLessThan(200 + LATE_MS);
  });
});

describe("streams", () => {
  test("resume on another upstream within one response", async () => {
    await start([
      (req, res) => {
        sendEvents(res, [1, 2]);
        setTimeout(() => req.socket.destroy(), 20);
      },
      (_req, res) => {
        sendEvents(res, [3, 4]);
        res.end();
      },
    ]);
    const res = await send("/ask/x");
    expect(res.complete).toBe(true);
    expect(res.body).toBe(
      [1, 2, 3, 4].map((id) => `id: ${id}\ndata: ${id}\n\n`).join(""),
    );
    expect(seen[1]?.headers["last-event-id"]).toBe("2");
  });

  test("that can't be resumed end visibly truncated", async () => {
    await start([
      (req, res) => {
        sendEvents(res, [1]);
        setTimeout(() => req.socket.destroy(), 20);
      },
    ], { resumable: false });
    const res = await send("/ask/x");
    expect([res.status, res.complete]).toEqual([200, false]);
  });

  test("that last longer than their route allows are cut at the time-out", async () => {
    await start([(_req, res) => sendEvents(res, [1])], { timeoutMs: 300 });
    const watch = Stopwatch.start();
    const res = await send("/ask/x");
    expect(res.complete).toBe(false);
    expect(await watch.stop()).toBeLessThan(300 + LATE_MS);
  });

  test("are cancelled at the upstream when the client disconnects", async () => {
    let closed = false;
    await start([(req, res) => {
      sendEvents(res, [1]);
      req.socket.on("close", () => closed = true);
    }]);
    await new Promise<void>((resolve) => {
      const req = request({
        host: "127.0.0.1",
        port,
        path: "/ask/x",
        method: "POST",
        agent: false,
        headers: {
          host: "h.example",
          "x-request-id": "r1",
          authorization: "Bearer key-1",
        },
      }, (res) => {
        res.on("error", () => {});
        res.once("data", () => {
          req.destroy();
          resolve();
        });
      });
      req.on("error", () => {});
      req.end();
    });
    await expect.poll(() => closed, { timeout: 2_000 }).toBe(true);
    expect(fake.recorded.lines).toContain("client_left");
  });
});
