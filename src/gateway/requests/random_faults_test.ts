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
import { createFakePort, servingOf } from "../../testing/fake_gateway_port.ts";
import { FrontServer } from "./front_server.ts";
import { RouteTable } from "../serving/route_table.ts";

const SEED = 20_261_204;
const REQUESTS = 400;
const AT_A_TIME = 20;
const UPSTREAMS = 3;
const EVENTS = 5;
const KINDS = ["lookup", "reserve", "ask"] as const;

/** What an upstream does with a request. */
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
  // The last address is given up again: no one listens there.
  const last = servers.pop()!;
  await new Promise<void>((done) => last.close(() => done()));
  const dialect = PlatformDialect.create();
  const routes = RouteTable.create(servingOf({ timeoutMs: 5_000 }));
  front = FrontServer.create(createFakePort(dialect, addresses), {
    routes: () => routes,
    drainingSince: () => undefined,
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

type Seen = Readonly<
  { id: string; kind: string; status: number; body: string; whole: boolean }
>;

function send(id: string, kind: string, agent: Agent): Promise<Seen> {
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
          whole: res.complete,
        }));
    });
    req.on(
      "error",
      () => resolve({ id, kind, status: 0, body: "", whole: false }),
    );
    req.end();
  });
}

test("whatever upstreams do: at most once, whole or visibly broken, and not run where it says so", async () => {
  const agent = new Agent({ keepAlive: true });
  const seen: Seen[] = [];
  for (let i = 0; i < REQUESTS; i += AT_A_TIME) {
    const batch = Array.from(
      { length: AT_A_TIME },
      (_, j) => send(`r${i + j}`, draw(KINDS), agent),
    );
    seen.push(...await Promise.all(batch));
  }
  agent.destroy();
  const broken = seen.filter((one) => {
    const ran = runs.get(one.id) ?? 0;
    if (one.kind === "reserve" && ran > 1) return true;
    if (one.status === 503 && ran > 0) return true;
    if (one.status !== 200 || !one.whole) return false;
    const stream = Array.from(
      { length: EVENTS },
      (_, i) => `id: ${i + 1}\ndata: ${one.id}\n\n`,
    ).join("");
    return one.body !== (one.kind === "ask" ? stream : `answer to ${one.id}`);
  });
  expect(broken).toEqual([]);
  const answered = seen.filter((one) => one.status === 200 && one.whole);
  expect(answered.length).toBeGreaterThan(REQUESTS / 4);
});
