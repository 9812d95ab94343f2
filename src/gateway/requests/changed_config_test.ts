import { setTimeout as sleep } from "node:timers/promises";
import { afterEach, describe, expect, test } from "vitest";
import type { ServiceId } from "../../core/id.ts";
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
/** Services that places were sought at. */
let services: ServiceId[] = [];

async function start(
  scripts: readonly UpstreamScript[] = [answer],
  fields: Partial<Route> = {},
): Promise<void> {
  reached = 0;
  services = [];
  fixture = await FrontServerFixture.start(
    scripts.map((script) => (socket) => {
      reached += 1;
      script(socket);
    }),
    fields,
  );
  const { place } = fixture.exchangePort;
  Object.assign(fixture.exchangePort, {
    place: (...args: Parameters<typeof place>) => {
      services.push(args[0].service);
      place(...args);
    },
  });
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

/** Puts a version in force in which all routes have the fields. */
function changeRoutes(fields: Partial<Route>): void {
  fixture.configure(({ routes }) => ({
    routes: routes.map((route) => ({ ...route, ...fields })),
  }));
}

function dropRoutes(): void {
  fixture.configure(() => ({ routes: [] }));
}

async function expectStatus(status: number): Promise<void> {
  await expect.poll(() => client.statuses, { timeout: 3_000 })
    .toEqual([status]);
}

describe("a version that is taken while a body is read", () => {
  async function sendAround(change: () => void): Promise<void> {
    client.write(requestText("/reserve/x", { body: "abcd" }).slice(0, -2));
    await expect.poll(() => fixture.frontServer.openRequests).toBe(1);
    change();
    client.write("cd");
  }

  test("moves the request with its route", async () => {
    await start();
    const other = [{ service: "other" as ServiceId, weight: 1 }];
    await sendAround(() => changeRoutes({ backends: other }));
    await expectStatus(200);
    expect(services).toEqual(["other"]);
  });

  test("refuses the request if its route is gone", async () => {
    await start();
    await sendAround(dropRoutes);
    await expectStatus(404);
    expect(reached).toBe(0);
  });

  test("refuses the request if its key is revoked", async () => {
    await start();
    await sendAround(() => fixture.configure(() => ({ teams: [] })));
    await expectStatus(401);
    expect(reached).toBe(0);
  });

  test("leaves a body that is within the limit at which it began", async () => {
    await start();
    await sendAround(() =>
      fixture.configure(({ limits }) => ({
        limits: { ...limits, bodyBytes: 1 },
      }))
    );
    await expectStatus(200);
  });

  // Guards against an answer that is cut within the time limit by which its request was taken.
  test("cut its stream at a time limit that came after the request", async () => {
    const stream = {
      "X-Response-Seal": "seal",
      "Content-Type": "text/event-stream",
    };
    await start([(socket) => {
      socket.write(responseHeadText(200, stream) + "id: 1\ndata: a\n\n");
      setTimeout(() => socket.end("id: 2\ndata: b\n\n"), 600);
    }], { timeoutMs: 3_000 });
    await sendAround(() => changeRoutes({ timeoutMs: 300 }));
    await expect.poll(() => client.received, { timeout: 3_000 })
      .toMatch(/data: a[^]*data: b[^]*\r\n0\r\n\r\n$/);
    expect(client.statuses).toEqual([200]);
  });

  test("leaves it the time limit at which it began, also where a later one is longer", async () => {
    await start([() => {}], { timeoutMs: 400 });
    const from = performance.now();
    await sendAround(() => changeRoutes({ timeoutMs: 3_000 }));
    await expectStatus(504);
    expect(performance.now() - from).toBeLessThan(900);
  });

  test("refuses a body that is not whole at the time limit at which it began", async () => {
    await start([answer], { timeoutMs: 400 });
    client.write(requestText("/reserve/x", { body: "abcd" }).slice(0, -2));
    await expect.poll(() => fixture.frontServer.openRequests).toBe(1);
    changeRoutes({ timeoutMs: 3_000 });
    await expectStatus(503);
    expect(reached).toBe(0);
  });
});

describe("a version that is taken while a request is tried", () => {
  test("leaves its answer, time limit and number of attempts as they were", async () => {
    await start([
      (socket) => void setTimeout(() => socket.destroy(), 200),
      (socket) => void setTimeout(() => answer(socket), 200),
    ]);
    client.write(requestText("/lookup/x"));
    await expect.poll(() => reached).toBe(1);
    changeRoutes({ timeoutMs: 100, maxAttempts: 1 });
    await sleep(50);
    dropRoutes();
    await expectStatus(200);
    expect(reached).toBe(2);
  });

  test("leaves a request that waits for its place to its deadline or its place", async () => {
    await start();
    const { exchangePort } = fixture;
    Object.assign(exchangePort, { place: () => {} });
    client.write(requestText("/lookup/x", {
      headers: { "X-Deadline-Ms": "400" },
    }));
    await expect.poll(() => fixture.frontServer.openRequests).toBe(1);
    dropRoutes();
    await expectStatus(503);
  });
});
