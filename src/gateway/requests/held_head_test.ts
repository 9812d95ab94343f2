import { setTimeout as sleep } from "node:timers/promises";
import type { Socket } from "node:net";
import { afterEach, describe, expect, test } from "vitest";
import {
  FrontServerFixture,
  responseHeadText,
  type UpstreamScript,
} from "../../testing/front_server_fixture.ts";
import { PlainClient, requestText } from "../../testing/plain_client.ts";
import type { Route } from "../serving/serving_config.ts";

let fixture: FrontServerFixture;
let client: PlainClient;

async function start(
  scripts: readonly UpstreamScript[],
  fields: Partial<Route> = {},
): Promise<void> {
  fixture = await FrontServerFixture.start(scripts, fields);
  client = await PlainClient.connect(fixture.port);
}

afterEach(() => {
  client.close();
  fixture.close();
});

const SEAL = { "X-Response-Seal": "s" };
const CHUNKED = { ...SEAL, "Transfer-Encoding": "chunked" };
const FRAMINGS = [
  ["with a length", { ...SEAL, "Content-Length": 2 }],
  ["in chunks", CHUNKED],
  ["without either", SEAL],
] as const;

/** Sends a head at once, and then does `next`. */
function headThen(
  headers: Readonly<Record<string, string | number>>,
  next: (socket: Socket) => void = () => {},
): UpstreamScript {
  return (socket) => {
    socket.write(responseHeadText(200, headers));
    setTimeout(() => next(socket), 50);
  };
}

const answers: UpstreamScript = (socket) =>
  void socket.end(
    responseHeadText(200, { ...SEAL, "Content-Length": 2 }) + "ok",
  );

async function expectWhole(...statuses: number[]): Promise<void> {
  await expect.poll(() => client.statuses, { timeout: 3_000 })
    .toEqual(statuses);
  // The connection is kept for the next request.
  expect(client.ended).toBeUndefined();
}

// Guards against a closed connection without a byte, which a client can't tell from a request that was never read.
describe("a head without a byte of its body ended in a closed connection", () => {
  test.each(FRAMINGS)("at the time-out, %s", async (_, headers) => {
    await start([headThen(headers)], { timeoutMs: 300 });
    client.write(requestText("/reserve/x"));
    await expectWhole(504);
    expect(client.received).not.toContain("X-Response-Seal");
  });

  test("at a time-out that a version has shortened", async () => {
    await start([headThen(CHUNKED), headThen(CHUNKED)], { timeoutMs: 9_000 });
    fixture.configure(({ routes }) => ({
      routes: routes.map((route) => ({ ...route, timeoutMs: 300 })),
    }));
    client.write(requestText("/reserve/x"));
    await expectWhole(504);
  });

  test.each(FRAMINGS)("when the daemon exits, %s", async (_, headers) => {
    await start([headThen(headers)]);
    client.write(requestText("/reserve/x"));
    await expect.poll(() => fixture.frontServer.openRequests).toBe(1);
    await sleep(100);
    fixture.frontServer.cut();
    await expectWhole(502);
  });

  const breaks = [
    ["close", (socket: Socket) => void socket.destroy()],
    ["reset", (socket: Socket) => void socket.resetAndDestroy()],
  ] as const;
  // An unframed answer that is closed is whole, and empty.
  const cases = FRAMINGS.flatMap(([framing, headers]) =>
    breaks.map(([how, act]) => [framing, how, headers, act] as const)
  ).filter(([framing, how]) => framing !== "without either" || how === "reset");

  test.each(cases)(
    "when its upstream breaks off, %s, by a %s",
    async (_framing, _how, headers, act) => {
      await start([headThen(headers, act)]);
      client.write(requestText("/reserve/x"));
      await expectWhole(502);
    },
  );

  test.each(cases)(
    "and was not sent again where it may be, %s, by a %s",
    async (_framing, _how, headers, act) => {
      await start([headThen(headers, act), answers]);
      client.write(requestText("/lookup/x"));
      await expectWhole(200);
      expect(client.received.endsWith("ok")).toBe(true);
    },
  );

  test("when the upstream falls silent, though another one could answer", async () => {
    await start([headThen(CHUNKED), answers], { targetMs: 100 });
    client.write(requestText("/lookup/x"));
    await expectWhole(200);
    expect(fixture.exchangePort.recorded.lines).toContain("attempt_silent");
  });

  test("of a failure that breaks off", async () => {
    const head = responseHeadText(500, { ...SEAL, "Content-Length": 2 });
    await start([(socket) => {
      socket.write(head);
      setTimeout(() => socket.destroy(), 50);
    }], { maxAttempts: 1 });
    client.write(requestText("/lookup/x"));
    await expectWhole(502);
  });
});

test("a response that has begun is not replaced: the client sees that it is cut", async () => {
  await start([headThen(CHUNKED, (socket) => socket.write("2\r\nok\r\n"))], {
    timeoutMs: 300,
  });
  client.write(requestText("/reserve/x"));
  await expect.poll(() => client.ended, { timeout: 3_000 }).toBeDefined();
  expect(client.statuses).toEqual([200]);
  expect(client.received).not.toContain("0\r\n\r\n");
});

describe("a response without a body is passed on as it is:", () => {
  test.each([
    [200, { ...SEAL, "Content-Length": 0 }, ""],
    [200, CHUNKED, "0\r\n\r\n"],
    [200, SEAL, ""],
    [204, SEAL, ""],
    [304, SEAL, ""],
    [500, { ...SEAL, "Content-Length": 0 }, ""],
  ])("%i %j", async (status, headers, rest) => {
    await start([
      (socket) => void socket.end(responseHeadText(status, headers) + rest),
    ]);
    client.write(requestText("/reserve/x"));
    await expectWhole(status);
    expect(client.received).toContain("X-Response-Seal: s");
  });

  test("to HEAD", async () => {
    const headers = { ...SEAL, "Content-Length": 9 };
    await start([(socket) => void socket.end(responseHeadText(200, headers))]);
    client.write(requestText("/reserve/x").replace("POST", "HEAD"));
    await expectWhole(200);
    expect(client.received).toContain("Content-Length: 9");
  });
});
