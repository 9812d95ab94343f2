import { setTimeout as sleep } from "node:timers/promises";
import { afterEach, expect, test } from "vitest";
import {
  FrontServerFixture,
  responseHeadText,
  type UpstreamScript,
} from "../../testing/front_server_fixture.ts";
import {
  PlainClient,
  requestText,
  stallLoop,
} from "../../testing/plain_client.ts";
import { PlannedStop } from "../planned_stop.ts";
import type { Route } from "../serving/serving_config.ts";

let fixture: FrontServerFixture;

async function start(
  scripts: readonly UpstreamScript[],
  fields: Partial<Route> = {},
): Promise<void> {
  fixture = await FrontServerFixture.start(scripts, fields);
}

afterEach(() => fixture.close());

function answerText(body: string): string {
  const headers = { "X-Response-Seal": "seal", "Content-Length": body.length };
  return responseHeadText(200, headers) + body;
}

test("an answer that had arrived during a stall was dropped as the deadline had passed", async () => {
  await start([(socket) => {
    setTimeout(
      () => void stallLoop(700, () => socket.end(answerText("ok"))),
      100,
    );
  }], { timeoutMs: 500 });
  const { status, body } = await fixture.send("/reserve/x");
  expect([status, body]).toEqual([200, "ok"]);
});

test("a large answer that had arrived during a stall was cut as the deadline had passed", async () => {
  const large = "x".repeat(1_000_000);
  await start([(socket) => {
    setTimeout(
      () => void stallLoop(700, () => socket.end(answerText(large))),
      100,
    );
  }], { timeoutMs: 500 });
  const { status, body, complete } = await fixture.send("/reserve/x");
  expect([status, body.length, complete]).toEqual([200, large.length, true]);
});

test("an upstream whose data had arrived during a stall was taken for silent", async () => {
  await start([(socket) => {
    const headers = {
      "X-Response-Seal": "seal",
      "Content-Type": "text/event-stream",
    };
    socket.write(responseHeadText(200, headers) + "id: 1\ndata: x\n\n");
    const finish = () => void socket.end("id: 2\ndata: x\n\n");
    setTimeout(() => void stallLoop(1_500, finish), 200);
  }], { timeoutMs: 3_000, targetMs: 300 });
  const { status, complete } = await fixture.send("/ask/x");
  expect([status, complete]).toEqual([200, true]);
  expect(fixture.exchangePort.recorded.lines).toEqual(["answered"]);
});

test("a connection to an upstream that was made during a stall was given up", async () => {
  await start([(socket) => void socket.end(answerText("ok"))]);
  const { place } = fixture.exchangePort;
  Object.assign(fixture.exchangePort, {
    place: (...args: Parameters<typeof place>) => {
      place(...args);
      void stallLoop(500, () => {});
    },
  });
  const { status, body } = await fixture.send("/reserve/x");
  expect([status, body]).toEqual([200, "ok"]);
});

test("an answer that had arrived during a stall was dropped as a planned stop was over", async () => {
  await start([(socket) => {
    const answer = () => void socket.end(answerText("ok"));
    setTimeout(() => void stallLoop(600, answer), 100);
  }], { timeoutMs: 3_000 });
  const { frontServer } = fixture;
  PlannedStop.begin({
    now: () => fixture.exchangePort.now(),
    openRequests: () => frontServer.openRequests,
    drain: () => {},
    cut: () => frontServer.cut(),
    line: () => {},
    flush: () => {},
    exit: () => {},
  }, 600);
  const { status, body } = await fixture.send("/reserve/x");
  expect([status, body]).toEqual([200, "ok"]);
});

test("a head whose rest had arrived during a stall was answered as too late", async () => {
  await start([(socket) => void socket.end(answerText("ok"))]);
  fixture.frontServer.applyLimits({ headMs: 300, idleMs: 10_000 });
  const client = await PlainClient.connect(fixture.port);
  const text = requestText("/lookup/x");
  client.write(text.slice(0, 20));
  await sleep(100);
  await stallLoop(2_500, () => client.write(text.slice(20)));
  await expect.poll(() => client.statuses).toEqual([200]);
  client.close();
});

test("a request that had arrived during a stall was dropped as its connection's idle time had passed", async () => {
  await start([(socket) => void socket.end(answerText("ok"))]);
  fixture.frontServer.applyLimits({ headMs: 5_000, idleMs: 100 });
  const client = await PlainClient.connect(fixture.port);
  client.write(requestText("/lookup/x"));
  await expect.poll(() => client.statuses).toEqual([200]);
  await sleep(1_000);
  await stallLoop(1_500, () => client.write(requestText("/lookup/x")));
  await expect.poll(() => client.statuses).toEqual([200, 200]);
  client.close();
});

test("a request that arrived right after a stall was dropped as its connection's idle time had passed", async () => {
  await start([(socket) => void socket.end(answerText("ok"))]);
  fixture.frontServer.applyLimits({ headMs: 5_000, idleMs: 100 });
  const client = await PlainClient.connect(fixture.port);
  client.write(requestText("/lookup/x"));
  await expect.poll(() => client.statuses).toEqual([200]);
  await sleep(1_000);
  await stallLoop(1_500, () => {});
  await sleep(100);
  client.write(requestText("/lookup/x"));
  await expect.poll(() => client.statuses).toEqual([200, 200]);
  client.close();
});

test("a client that connects ahead of its first request was told that it comes too late", async () => {
  await start([(socket) => void socket.end(answerText("ok"))]);
  fixture.frontServer.applyLimits({ headMs: 100, idleMs: 5_000 });
  const client = await PlainClient.connect(fixture.port);
  await sleep(3_000);
  expect([client.ended, client.received]).toEqual([undefined, ""]);
  client.write(requestText("/lookup/x"));
  await expect.poll(() => client.statuses).toEqual([200]);
  client.close();
});

test("a head that comes too late is answered so, with a line", async () => {
  await start([(socket) => void socket.end(answerText("ok"))]);
  fixture.frontServer.applyLimits({ headMs: 100, idleMs: 5_000 });
  const client = await PlainClient.connect(fixture.port);
  client.write("POST /lookup/x HTTP/1.1\r\n");
  await expect.poll(() => client.statuses, { timeout: 4_000 }).toEqual([408]);
  expect(fixture.exchangePort.recorded.lineFields).toMatchObject([
    { kind: "connection_ended", cause: "head_late", requests: 0, received: 25 },
  ]);
  client.close();
});
