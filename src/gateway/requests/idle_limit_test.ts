import { setTimeout as sleep } from "node:timers/promises";
import { afterEach, beforeEach, expect, test } from "vitest";
import {
  FrontServerFixture,
  responseHeadText,
} from "../../testing/front_server_fixture.ts";
import { PlainClient, requestText } from "../../testing/plain_client.ts";

const HEAD_MS = 5_000;

let fixture: FrontServerFixture;
let client: PlainClient;

beforeEach(async () => {
  fixture = await FrontServerFixture.start([(socket) => {
    const headers = { "X-Response-Seal": "seal", "Content-Length": 2 };
    socket.end(responseHeadText(200, headers) + "ok");
  }]);
});
afterEach(() => {
  client.close();
  fixture.close();
});

function limitIdle(idleMs: number): void {
  fixture.frontServer.applyLimits({ headMs: HEAD_MS, idleMs });
}

/** A client whose connection has just become idle. */
async function idleClient(): Promise<PlainClient> {
  client = await PlainClient.connect(fixture.port);
  client.write(requestText("/lookup/x"));
  await expect.poll(() => client.statuses).toEqual([200]);
  return client;
}

async function expectServed(): Promise<void> {
  client.write(requestText("/lookup/x"));
  await expect.poll(() => [client.ended, client.statuses.length])
    .toEqual([undefined, 2]);
}

test("a connection that was idle when the idle limit was raised closed at the old limit", async () => {
  limitIdle(100);
  await idleClient();
  limitIdle(20_000);
  await sleep(2_600);
  expect(client.ended).toBeUndefined();
  await expectServed();
});

test("a connection that became idle after the limit was lowered closed while its client relied on the former one", async () => {
  limitIdle(20_000);
  client = await PlainClient.connect(fixture.port);
  client.write(requestText("/lookup/x"));
  limitIdle(100);
  await expect.poll(() => client.statuses).toEqual([200]);
  await sleep(2_600);
  await expectServed();
});

test("a head that had begun was late once the limit for heads was lowered", async () => {
  fixture.frontServer.applyLimits({ headMs: 10_000, idleMs: 20_000 });
  client = await PlainClient.connect(fixture.port);
  const text = requestText("/lookup/x");
  client.write(text.slice(0, 20));
  await sleep(50);
  fixture.frontServer.applyLimits({ headMs: 100, idleMs: 20_000 });
  await sleep(2_500);
  client.write(text.slice(20));
  await expect.poll(() => client.statuses).toEqual([200]);
});

test("clients are told no longer an idle time than holds", async () => {
  limitIdle(2_000);
  await idleClient();
  expect(client.received).toContain("Keep-Alive: timeout=3\r\n");
  limitIdle(100);
  await sleep(3_100);
  await expectServed();
  expect(client.received).toContain("Keep-Alive: timeout=1\r\n");
});
