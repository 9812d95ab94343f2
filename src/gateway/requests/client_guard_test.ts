import { setTimeout as sleep } from "node:timers/promises";
import { afterEach, beforeEach, expect, test } from "vitest";
import {
  FrontServerFixture,
  responseHeadText,
} from "../../testing/front_server_fixture.ts";
import { PlainClient, requestText } from "../../testing/plain_client.ts";

/** The least shares: 12 MiB and 32 connections. */
const RESOURCES = { memoryBytes: 0, descriptors: 0 };
const MAX_CONNECTIONS = 32;
const BODY_BYTES = 3 << 20;
const CHUNKED = { "Transfer-Encoding": "chunked" };

let fixture: FrontServerFixture;
let clients: PlainClient[];
let reached: number;

beforeEach(async () => {
  reached = 0;
  clients = [];
  fixture = await FrontServerFixture.start(
    [(socket) => {
      reached += 1;
      const seal = { "X-Response-Seal": "s", "Content-Length": 2 };
      socket.end(responseHeadText(200, seal) + "ok");
    }],
    {},
    { resources: RESOURCES },
  );
  const bodyBytes = 2 * BODY_BYTES;
  fixture.configure(({ limits }) => ({ limits: { ...limits, bodyBytes } }));
});

afterEach(() => {
  for (const client of clients) client.close();
  fixture.close();
});

async function connect(): Promise<PlainClient> {
  const client = await PlainClient.connect(fixture.port);
  clients.push(client);
  return client;
}

async function expectServed(client: PlainClient): Promise<void> {
  client.write(requestText("/reserve/x", { body: "{}" }));
  await expect.poll(() => client.statuses, { timeout: 3_000 }).toEqual([200]);
}

test("bodies that stand still are refused as not run when memory is short, and others are served", async () => {
  const body = `${BODY_BYTES.toString(16)}\r\n${"x".repeat(BODY_BYTES)}\r\n`;
  for (let i = 0; i < 4; i += 1) {
    const client = await connect();
    client.write(requestText("/reserve/x", { headers: CHUNKED }) + body);
    await sleep(50);
  }
  const refused = () => clients.filter(({ statuses }) => statuses[0] === 503);
  await expect.poll(() => refused().length, { timeout: 3_000 })
    .toBeGreaterThan(0);
  expect(refused()[0]!.received).toContain('"code":"overloaded"');
  expect(refused()[0]!.received).toContain('"verdict":"not_run"');
  expect(refused()[0]!.received.toLowerCase()).toContain("connection: close");
  await expectServed(await connect());
  expect(reached).toBe(1);
  expect(fixture.exchangePort.recorded.lines).toContain("client_shed");
});

test("the connection that has been idle for longest is closed for a new one", async () => {
  for (let i = 0; i < MAX_CONNECTIONS; i += 1) await connect();
  const newest = await connect();
  await expectServed(newest);
  await expect.poll(() => clients[0]!.ended).toBe("closed");
  expect(clients.filter(({ ended }) => ended !== undefined)).toHaveLength(1);
});
