import {
  Agent,
  createServer,
  type IncomingMessage,
  request,
  type Server,
  type ServerResponse,
} from "node:http";
import type { AddressInfo } from "node:net";
import { afterAll, beforeAll, expect, test } from "vitest";
import { PlatformDialect } from "../../../platform/wire/dialect.ts";
import { Random } from "../../core/random.ts";
import {
  createFakePort,
  servingWithRoutes,
} from "../../testing/fake_gateway_port.ts";
import { FrontServer } from "./front_server.ts";
import { RouteTable } from "../serving/route_table.ts";

const SEED = 20_261_204;
const REQUESTS = 400;
const CONCURRENCY = 20;
const UPSTREAMS = 3;
const EVENTS = 5;
const KINDS = ["lookup", "reserve", "ask"] as const;

/** Behaviour of an upstream towards a request, chosen at random. */
const FAULTS = [
  "none",
  "none",
  "full",
  "moved",
  "own_failure",
  "reset_before",
  "reset_after_run",
  "cut",
  "crossed",
  "unsealed",
] as const;

const random = Random.create(SEED);
const runs = new Map<string, number>();
const servers: Server[] = [];
let front: FrontServer;
let port = 0;

function draw<T>(values: readonly T[]): T {
  return values[random.below(values.length)]!;
}

function serve(req: IncomingMessage, res: ServerResponse): void {
  const id = String(req.headers["x-request-id"]);
  const fault = draw(FAULTS);
  const stream = req.url!.startsWith("/ask/");
  res.setHeader("X-Request-Id", fault === "crossed" ? "another" : id);
  if (fault === "reset_before") return void req.socket.destroy();
  if (fault === "full") {
    res.writeHead(503, { "X-Not-Executed": "1" });
    return void res.end();
  }
  if (fault === "moved") {
    res.writeHead(421);
    return void res.end();
  }
  runs.set(id, (runs.get(id) ?? 0) + 1);
  if (fault === "reset_after_run") return void req.socket.destroy();
  if (fault !== "unsealed") res.setHeader("X-Response-Seal", `seal of ${id}`);
  if (fault === "own_failure") {
    res.writeHead(500, { "Content-Length": 4 });
    return void res.end("oops");
  }
  if (!stream) {
    const body = `answer to ${id}`;
    res.writeHead(200, { "Content-Length": body.length });
    if (fault !== "cut") return void res.end(body);
    res.write(body.slice(0, 5));
    return void setTimeout(() => req.socket.destroy(), 5);
  }
  res.writeHead(200, { "Content-Type": "text/event-stream" });
  const from = Number(req.headers["last-event-id"] ?? 0) + 1;
  const end = fault === "cut" ? from + random.below(EVENTS) : EVENTS + 1;
  for (let i = from; i < Math.min(end, EVENTS + 1); i += 1) {
    res.write(`id: ${i}\ndata: ${id}\n\n`);
  }
  if (fault !== "cut") return void res.end();
  res.write("id: 9");
  setTimeout(() => req.socket.destroy(), 5);
}

beforeAll(async () => {
  const addresses: string[] = [];
  for (let i = 0; i <= UPSTREAMS; i += 1) {
    const server = createServer((req, res) => {
      req.resume();
      req.on("end", () => serve(req, res));
    });
    await new Promise<void>((done) => server.listen(0, "127.0.0.1", done));
    addresses.push(`127.0.0.1:${(server.address() as AddressInfo).port}`);
    servers.push(server);
  }
  // The last server is closed again, so that its address refuses connections.
  const last = servers.pop()!;
  await new Promise<void>((done) => last.close(() => done()));
  const dialect = PlatformDialect.create();
  const routes = RouteTable.create(servingWithRoutes({ timeoutMs: 5_000 }));
  front = FrontServer.create(createFakePort(dialect, addresses), {
    routes: () => routes,
    drain: () => undefined,
  });
  const probe = createServer();
  await new Promise<void>((done) => probe.listen(0, "127.0.0.1", done));
  port = (probe.address() as AddressInfo).port;
  await new Promise<void>((done) => probe.close(() => done()));
  await front.listen("127.0.0.1", port);
});
afterAll(() => {
  front.close();
  for (const server of servers) server.close();
});

type Received = Readonly<
  { id: string; kind: string; status: number; body: string; complete: boolean }
>;

function send(id: string, kind: string, agent: Agent): Promise<Received> {
  return new Promise((resolve) => {
    const req = request({
      host: "127.0.0.1",
      port,
      agent,
      path: `/${kind}/x`,
      method: "POST",
      headers: {
        host: "h.example",
        "x-request-id": id,
        authorization: "Bearer key-1",
      },
    }, (res) => {
      let body = "";
      res.on("data", (chunk) => body += chunk);
      res.on("error", () => {});
      res.on("close", () =>
        resolve({
          id,
          kind,
          status: res.statusCode ?? 0,
          body,
          complete: res.complete,
        }));
    });
    req.on(
      "error",
      () => resolve({ id, kind, status: 0, body: "", complete: false }),
    );
    req.end();
  });
}

test("random faults: an unrepeatable call runs at most once, a 503 has not run, no response is silently truncated", async () => {
  const agent = new Agent({ keepAlive: true });
  const received: Received[] = [];
  for (let i = 0; i < REQUESTS; i += CONCURRENCY) {
    const batch = Array.from(
      { length: CONCURRENCY },
      (_, j) => send(`r${i + j}`, draw(KINDS), agent),
    );
    received.push(...await Promise.all(batch));
  }
  agent.destroy();
  const violations = received.filter((response) => {
    const ran = runs.get(response.id) ?? 0;
    if (response.kind === "reserve" && ran > 1) return true;
    if (response.status === 503 && ran > 0) return true;
    if (response.status !== 200 || !response.complete) return false;
    const stream = Array.from(
      { length: EVENTS },
      (_, i) => `id: ${i + 1}\ndata: ${response.id}\n\n`,
    ).join("");
    return response.body !==
      (response.kind === "ask" ? stream : `answer to ${response.id}`);
  });
  expect(violations).toEqual([]);
  const answered = received.filter((response) =>
    response.status === 200 && response.complete
  );
  expect(answered.length).toBeGreaterThan(REQUESTS / 4);
});
