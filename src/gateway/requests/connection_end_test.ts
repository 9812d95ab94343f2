import { setTimeout as sleep } from "node:timers/promises";
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
let reached = 0;

async function start(
  script: UpstreamScript,
  fields: Partial<Route> = {},
): Promise<void> {
  reached = 0;
  fixture = await FrontServerFixture.start([(socket) => {
    reached += 1;
    script(socket);
  }], fields);
  client = await PlainClient.connect(fixture.port);
}

afterEach(() => {
  client.close();
  fixture.close();
});

const answer: UpstreamScript = (socket) => {
  const headers = { "X-Response-Seal": "seal", "Content-Length": 2 };
  socket.end(responseHeadText(200, headers) + "ok");
};

const answerLater: UpstreamScript = (socket) =>
  void setTimeout(() => answer(socket), 300);

async function expectStatuses(...statuses: number[]): Promise<void> {
  await expect.poll(() => client.statuses, { timeout: 3_000 })
    .toEqual(statuses);
}

function lines(kind: string) {
  return fixture.exchangePort.recorded.lineFields
    .filter((line) => line.kind === kind);
}

describe("what can't be read gets an answer and a line", () => {
  test.each(
    [
      ["no HTTP", "nonsense\r\n\r\n", 400],
      [
        "a method without meaning here",
        "CONNECT h.example:80 HTTP/1.1\r\nHost: h.example\r\n\r\n",
        400,
      ],
      ["HTTP/2", "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", 400],
      ["no host", "GET /lookup/x HTTP/1.1\r\nX-Request-Id: r1\r\n\r\n", 400],
      [
        "a head beyond the parser's limit",
        requestText("/lookup/x", { headers: { "X-Big": "y".repeat(70_000) } }),
        431,
      ],
    ] as const,
  )("%s", async (_name, text, status) => {
    await start(answer);
    client.write(text);
    await expectStatuses(status);
    await expect.poll(() => client.ended).toBe("closed");
    const written = [...lines("connection_ended"), ...lines("turned_away")];
    expect(written).toHaveLength(1);
  });

  test("a chunk of a body", async () => {
    await start(answer);
    client.write(requestText("/reserve/x", {
      headers: { "Transfer-Encoding": "chunked" },
    }));
    await sleep(50);
    client.write("zz\r\n");
    await expectStatuses(400);
    expect(lines("turned_away")).toMatchObject([{
      req: "r1",
      code: "bad_request",
    }]);
    expect(reached).toBe(0);
  });
});

test("a client that asks for a tunnel and resets its connection ended the daemon", async () => {
  await start(answer);
  const head = "CONNECT h.example:80 HTTP/1.1\r\nHost: h.example\r\n\r\n";
  for (const waitMs of [0, 1, 5, 20]) {
    const one = await PlainClient.connect(fixture.port);
    one.write(head);
    await sleep(waitMs);
    one.write("more");
    one.socket.resetAndDestroy();
  }
  // An error without a listener fails the test run.
  await sleep(1_200);
  client.write(requestText("/lookup/x"));
  await expectStatuses(200);
});

describe("an end without a request says what had arrived", () => {
  const limits = { headMs: 5_000, idleMs: 50 };

  test("at the idle limit", async () => {
    await start(answer);
    fixture.frontServer.applyLimits(limits);
    client.write(requestText("/lookup/x"));
    await expectStatuses(200);
    await expect.poll(() => client.ended, { timeout: 4_000 }).toBe("closed");
    expect(lines("connection_ended")).toMatchObject([
      { cause: "idle", requests: 1, received: 0, open: 0 },
    ]);
  });

  test("by the client within a head", async () => {
    await start(answer);
    client.write("POST /");
    await sleep(50);
    client.close();
    await expect.poll(() => lines("connection_ended")).toMatchObject([
      { cause: "client_left", requests: 0, received: 6, open: 0 },
    ]);
  });
});

describe("what follows a request on its connection", () => {
  test("and can't be read took the request's answer", async () => {
    await start(answerLater);
    client.write(requestText("/reserve/x", { body: "{}" }));
    await sleep(100);
    client.write("nonsense\r\n\r\n");
    await expectStatuses(200);
    expect(client.received.endsWith("ok")).toBe(true);
    await expect.poll(() => client.ended).toBe("closed");
    expect(lines("connection_ended")).toMatchObject([{
      cause: "unreadable",
      open: 1,
    }]);
  });

  test("and comes too late took the request's answer", async () => {
    await start((socket) => void setTimeout(() => answer(socket), 2_400), {
      timeoutMs: 4_000,
    });
    fixture.frontServer.applyLimits({ headMs: 100, idleMs: 5_000 });
    client.write(requestText("/reserve/x", { body: "{}" }) + "POST /");
    await expectStatuses(200);
    await expect.poll(() => client.ended).toBe("closed");
    expect(lines("connection_ended")).toMatchObject([{
      cause: "head_late",
      open: 1,
    }]);
  });

  test("was dropped unanswered when a planned stop began", async () => {
    await start(answerLater);
    client.write(requestText("/lookup/x") + requestText("/lookup/y"));
    await expect.poll(() => fixture.frontServer.openRequests).toBe(2);
    fixture.drain(0, 6_000);
    await expectStatuses(200, 200);
    await expect.poll(() => client.ended).toBe("closed");
  });
});

describe("a request behind the last response ran, and was dropped unanswered", () => {
  const second = requestText("/reserve/x", { id: "r2", body: "{}" });

  async function expectOneAnswer(status: number, runs: number): Promise<void> {
    await expect.poll(() => client.ended, { timeout: 3_000 }).toBe("closed");
    expect(client.statuses).toEqual([status]);
    expect(reached).toBe(runs);
    expect(lines("connection_ended")).toMatchObject([{
      cause: "behind_last",
      requests: 1,
    }]);
  }

  test("in one piece with a request that is refused", async () => {
    await start(answerLater);
    client.write(requestText("/nowhere/x", { body: "{}" }) + second);
    await expectOneAnswer(404, 0);
  });

  test("in one piece with the rest of a refused body", async () => {
    await start(answerLater);
    const first = requestText("/nowhere/x", { body: "{}" });
    client.write(first.slice(0, -1));
    await expectStatuses(404);
    client.write(first.slice(-1) + second);
    await expectOneAnswer(404, 0);
  });

  test("in a planned stop, after the head of an answer", async () => {
    await start((socket) => {
      const headers = { "X-Response-Seal": "seal", "Content-Length": 2 };
      socket.write(responseHeadText(200, headers) + "o");
      setTimeout(() => socket.end("k"), 300);
    });
    fixture.drain(0, 6_000);
    client.write(requestText("/lookup/x"));
    await expectStatuses(200);
    client.write(second);
    await expectOneAnswer(200, 1);
    expect(client.received.endsWith("ok")).toBe(true);
  });
});

test("a request that expects a go-ahead, or an unknown thing, is served", async () => {
  await start(answer);
  const headers = { Expect: "100-continue" };
  client.write(
    requestText("/reserve/x", { headers, body: "{}" }).slice(0, -2),
  );
  await expectStatuses(100);
  client.write("{}");
  await expectStatuses(100, 200);
  client.write(requestText("/reserve/x", { headers: { Expect: "much" } }));
  await expectStatuses(100, 200, 200);
});

test("an upgrade is answered as an ordinary request", async () => {
  await start(answer);
  const headers = { Connection: "Upgrade", Upgrade: "websocket" };
  client.write(requestText("/lookup/x", { headers }));
  await expectStatuses(200);
});
