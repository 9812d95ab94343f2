import { setTimeout as sleep } from "node:timers/promises";
import { afterEach, expect, test } from "vitest";
import {
  FrontServerFixture,
  responseHeadText,
} from "../../testing/front_server_fixture.ts";
import { PlainClient, requestText } from "../../testing/plain_client.ts";
import type { Route } from "../serving/serving_config.ts";

let fixture: FrontServerFixture;
let client: PlainClient;
let reached = 0;

async function start(fields: Partial<Route> = {}): Promise<void> {
  reached = 0;
  fixture = await FrontServerFixture.start([(socket) => {
    reached += 1;
    const headers = { "X-Response-Seal": "seal", "Content-Length": 2 };
    socket.end(responseHeadText(200, headers) + "ok");
  }], fields);
  client = await PlainClient.connect(fixture.port, { halfOpen: true });
}

afterEach(() => {
  client.close();
  fixture.close();
});

async function expectStatuses(...statuses: number[]): Promise<void> {
  await expect.poll(() => client.statuses, { timeout: 3_000 })
    .toEqual(statuses);
}

test("a body that comes slowly was waited for beyond the request's time limit", async () => {
  await start({ timeoutMs: 400 });
  client.write(requestText("/reserve/x", { body: "abcd" }).slice(0, -2));
  const from = performance.now();
  await expectStatuses(503);
  expect(performance.now() - from).toBeLessThan(900);
  expect(client.received).toContain("connection: close");
  expect(reached).toBe(0);
  expect(fixture.exchangePort.recorded.lineFields).toMatchObject([
    { kind: "turned_away", code: "deadline_exceeded", received: 2 },
  ]);
});

test("a client's own time limit ends the wait for its body", async () => {
  await start({ timeoutMs: 5_000 });
  const headers = { "X-Deadline-Ms": "400" };
  const text = requestText("/reserve/x", { headers, body: "abcd" });
  client.write(text.slice(0, -2));
  await expectStatuses(503);
  expect(reached).toBe(0);
});

test("a refused request whose body was on its way had its connection reset", async () => {
  await start();
  const text = requestText("/unknown/x", { body: "x".repeat(200_000) });
  client.write(text.slice(0, -100_000));
  await expectStatuses(404);
  for (const end of [-60_000, -20_000, text.length]) {
    const sent = client.socket.bytesWritten;
    client.write(text.slice(sent, end));
    await sleep(50);
    expect(client.ended).not.toBe("reset");
  }
  await expect.poll(() => client.ended).toBe("closed");
});

test("a body beyond the limit had its connection reset", async () => {
  await start();
  fixture.configure(({ limits }) => ({ limits: { ...limits, bodyBytes: 10 } }));
  const chunk = "x".repeat(1_000_000);
  client.write(requestText("/reserve/x", {
    headers: { "Transfer-Encoding": "chunked" },
  }));
  client.write(`f4240\r\n${chunk}\r\n`.repeat(8) + "0\r\n\r\n");
  await expectStatuses(413);
  await expect.poll(() => client.ended).toBe("closed");
  expect(reached).toBe(0);
});

test("a client that never sends the rest of a refused body is let go", async () => {
  await start();
  client.write(requestText("/unknown/x", { body: "abcd" }).slice(0, -2));
  await expectStatuses(404);
  await expect.poll(() => client.ended, { timeout: 3_000 }).toBe("closed");
  await expect.poll(() => fixture.frontServer.openRequests).toBe(0);
});

test("a client that closes after the refusal of its body was logged as one that left", async () => {
  await start({ timeoutMs: 100 });
  client.write(requestText("/reserve/x", { body: "abcd" }).slice(0, -2));
  await expectStatuses(503);
  client.close();
  await expect.poll(() => fixture.frontServer.openRequests).toBe(0);
  await sleep(50);
  expect(fixture.exchangePort.recorded.lines).toEqual(["turned_away"]);
});
