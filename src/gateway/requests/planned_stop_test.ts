import { connect, type Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { afterEach, describe, expect, test } from "vitest";
import {
  FrontServerFixture,
  responseHeadText,
  type UpstreamScript,
} from "../../testing/front_server_fixture.ts";
import type { Route } from "../serving/serving_config.ts";

let fixture: FrontServerFixture;
let reached = 0;

async function start(
  script: UpstreamScript,
  fields: Partial<Route> = {},
): Promise<void> {
  reached = 0;
  fixture = await FrontServerFixture.start([(socket) => {
    reached += 1;
    script(socket);
  }], { timeoutMs: 10_000, ...fields });
}

afterEach(() => fixture.close());

const SILENT: UpstreamScript = () => {};

function sendAnswer(socket: Socket): void {
  const headers = { "X-Response-Seal": "seal", "Content-Length": 2 };
  socket.end(responseHeadText(200, headers) + "ok");
}

/** Sends the head of a stream and one event, and no more. */
function sendOneEvent(socket: Socket): void {
  const headers = {
    "X-Response-Seal": "seal",
    "Content-Type": "text/event-stream",
  };
  socket.write(responseHeadText(200, headers) + "id: 1\ndata: x\n\n");
}

async function untilReached(): Promise<void> {
  await expect.poll(() => reached, { timeout: 5_000 }).toBe(1);
}

/** Sends a request of which only a part of the body arrives, on a connection of its own. */
function sendHalf(path: string): { socket: Socket; received: () => string } {
  const socket = connect(fixture.port, "127.0.0.1");
  let text = "";
  socket.on("data", (chunk) => text += chunk);
  socket.on("error", () => {});
  socket.write(
    [
      `POST ${path} HTTP/1.1`,
      "host: h.example",
      "x-request-id: r1",
      "authorization: Bearer key-1",
      "content-length: 4",
      "",
      "ab",
    ].join("\r\n"),
  );
  return { socket, received: () => text };
}

describe("a request that may outlast a planned stop is refused, not taken and cut", () => {
  test("a call that may not be repeated, whose time limit is after the stop", async () => {
    await start(sendAnswer);
    fixture.drain(1_000, 6_000);
    const late = await fixture.send("/reserve/x", { "x-deadline-ms": "9000" });
    expect([late.status, reached]).toEqual([503, 0]);
    expect(Number(late.headers["retry-after"])).toBeLessThan(1);
    expect(fixture.exchangePort.recorded.problems).toEqual([
      "draining not_run",
    ]);
    const inTime = await fixture.send("/reserve/x", {
      "x-deadline-ms": "5000",
    });
    expect([inTime.status, reached]).toEqual([200, 1]);
  });

  test("a stream, by how long recent answers on its route took", async () => {
    await start((socket) => {
      sendOneEvent(socket);
      setTimeout(() => socket.end(), 200);
    });
    fixture.drain(0, 9_000);
    const unknown = await fixture.send("/ask/x", { "x-deadline-ms": "10000" });
    expect([unknown.status, reached]).toEqual([503, 0]);
    const short = await fixture.send("/ask/x", { "x-deadline-ms": "8000" });
    expect([short.status, reached]).toEqual([200, 1]);
    const known = await fixture.send("/ask/x", { "x-deadline-ms": "10000" });
    expect([known.status, reached]).toEqual([200, 2]);
    fixture.drain(1_000, 150);
    const late = await fixture.send("/ask/x", { "x-deadline-ms": "10000" });
    expect([late.status, reached]).toEqual([503, 2]);
  });

  test("a request whose body is complete too late", async () => {
    await start(sendAnswer);
    const { socket, received } = sendHalf("/reserve/x");
    await sleep(50);
    fixture.drain(0, 6_000);
    socket.write("cd");
    await expect.poll(received, { timeout: 5_000 }).toContain("HTTP/1.1 503");
    expect(reached).toBe(0);
    socket.destroy();
  });

  test("a request that waits for a place when the stop begins", async () => {
    await start(sendAnswer);
    const { exchangePort } = fixture;
    Object.assign(exchangePort, { place: () => {} });
    const answer = fixture.send("/reserve/x", { "x-deadline-ms": "9000" });
    await expect.poll(() => fixture.frontServer.openRequests).toBe(1);
    await sleep(20);
    fixture.drain(0, 6_000);
    expect((await answer).status).toBe(503);
    expect(exchangePort.recorded.problems).toEqual(["draining not_run"]);
  });
});

describe("a request that is open when the daemon exits gets a final response and a line", () => {
  test("one that an upstream may have run", async () => {
    await start(SILENT);
    const answer = fixture.send("/reserve/x");
    await untilReached();
    fixture.frontServer.cut();
    const { status, complete } = await answer;
    expect([status, complete]).toEqual([502, true]);
    expect(fixture.exchangePort.recorded.lines).toEqual(["cut", "refused"]);
  });

  test("a stream that has begun ends visibly truncated", async () => {
    await start(sendOneEvent);
    const answer = fixture.send("/ask/x");
    await untilReached();
    await sleep(50);
    fixture.frontServer.cut();
    const { status, complete } = await answer;
    expect([status, complete]).toEqual([200, false]);
    expect(fixture.exchangePort.recorded.lines).toEqual(["cut", "refused"]);
  });

  test("one whose body is incomplete has not run", async () => {
    await start(sendAnswer);
    const { socket, received } = sendHalf("/reserve/x");
    await expect.poll(() => fixture.frontServer.openRequests).toBe(1);
    fixture.frontServer.cut();
    await expect.poll(received, { timeout: 5_000 }).toContain("HTTP/1.1 503");
    expect(reached).toBe(0);
    expect(fixture.exchangePort.recorded.lines).toEqual([
      "cut",
      "turned_away",
    ]);
    socket.destroy();
  });
});

test("a connection that closes before the body is complete leaves a line", async () => {
  await start(sendAnswer);
  const { socket } = sendHalf("/reserve/x");
  await expect.poll(() => fixture.frontServer.openRequests).toBe(1);
  socket.destroy();
  await expect.poll(() => fixture.exchangePort.recorded.lines).toEqual([
    "client_left",
  ]);
});
