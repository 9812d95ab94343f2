import type { Socket } from "node:net";
import { ok } from "neverthrow";
import { afterEach, beforeEach, expect, test, vi } from "vitest";
import type { UpstreamId } from "../../core/id.ts";
import type { Millis } from "../../core/time.ts";
import type {
  FakeEngineOrders,
  FakePort,
} from "../../testing/fake_gateway_port.ts";
import {
  type FrontResponse,
  FrontServerFixture,
  responseHeadText,
} from "../../testing/front_server_fixture.ts";
import type { Route } from "../serving/serving_config.ts";

const SILENCE_LIMIT_MS: Millis = 1_200;
const SEAL = { "X-Response-Seal": "s" };
const HEAD = responseHeadText(200, {
  ...SEAL,
  "Content-Type": "text/event-stream",
});
const [FIRST, SECOND] = ["id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"];
const WHOLE = `${FIRST}${SECOND}`;
const NOT_RUN = responseHeadText(503, {
  "X-Not-Executed": "1",
  "Content-Length": 0,
});

let play: FrontServerFixture;
let fake: FakePort;
let sockets: Socket[];
let response: FrontResponse | undefined;

beforeEach(() => {
  vi.useFakeTimers({ toFake: ["setTimeout", "clearTimeout", "performance"] });
});
afterEach(() => {
  for (const socket of sockets) socket?.destroy();
  play.close();
  vi.useRealTimers();
});

async function start(
  upstreams: number,
  refusing = 0,
  fields: Partial<Route> = {},
): Promise<void> {
  sockets = [];
  response = undefined;
  const script = (index: number) => (socket: Socket) => {
    sockets[index] = socket;
    if (index < refusing) socket.end(NOT_RUN);
  };
  play = await FrontServerFixture.start(
    Array.from({ length: upstreams }, (_, i) => script(i)),
    { timeoutMs: 10_000, ...fields },
  );
  fake = play.exchangePort;
}

function send(): void {
  const from = play;
  void from.send("/ask/x", { "x-deadline-ms": "20000" }).then((res) => {
    if (play === from) response = res;
  });
}

async function until(condition: () => boolean, turns = 200_000): Promise<void> {
  for (let i = 0; i < turns && !condition(); i += 1) {
    await new Promise((resolve) => setImmediate(resolve));
  }
  expect(condition()).toBe(true);
}

async function settle(): Promise<void> {
  for (let i = 0; i < 2_000; i += 1) {
    await new Promise((resolve) => setImmediate(resolve));
  }
}

const pass = (ms: Millis) => vi.advanceTimersByTimeAsync(ms);

test("a silent attempt is not ended in favour of the same upstream", async () => {
  await start(1);
  send();
  await until(() => sockets[0] !== undefined);
  const first = sockets[0]!;
  first.write(`${HEAD}${FIRST}`);
  await until(() => fake.recorded.jobUpdates.includes("e0 started"));
  // The scheduler grants an upstream that is to be avoided if there is no other one.
  await pass(SILENCE_LIMIT_MS);
  await settle();
  expect(first.destroyed).toBe(false);
  expect(fake.recorded.retries).toEqual([]);
});

test("a silent attempt after rejections is replaced by the last placement that is allowed", async () => {
  await start(5, 3);
  send();
  await until(() => sockets[3] !== undefined);
  for (let i = 0; i < 4; i += 1) {
    await pass(SILENCE_LIMIT_MS);
    await settle();
  }
  // Nothing is placed that may not be used.
  expect([fake.recorded.avoided.length, sockets[4] !== undefined])
    .toEqual([5, true]);
});

test("places that could not be used beside a silent attempt do not count against the retry at its real end", async () => {
  await start(2);
  send();
  await until(() => sockets[0] !== undefined);
  sockets[0]!.write(`${HEAD}${FIRST}`);
  await until(() => fake.recorded.jobUpdates.includes("e0 started"));
  for (const id of ["e0", "e1"] as UpstreamId[]) {
    fake.closures.set(id, { reason: "draining", knownAt: fake.now() });
  }
  await pass(SILENCE_LIMIT_MS);
  await settle();
  expect(sockets[0]!.destroyed).toBe(false);
  fake.closures.clear();
  fake.placeNext = (reply, grant) => {
    const upstream = "e1" as UpstreamId;
    reply(ok({
      ...grant,
      job: { ...grant.job, upstream },
      addresses: { [upstream]: play.addresses[1]! },
    }));
  };
  sockets[0]!.resetAndDestroy();
  await until(() => sockets[1] !== undefined || response !== undefined);
  expect(response).toBeUndefined();
  sockets[1]!.end(`${HEAD}${SECOND}`);
  await until(() => response !== undefined);
  expect(response).toMatchObject({ body: WHOLE, complete: true });
});

test("a silent attempt goes on where the other upstream can't be connected to", async () => {
  await start(2, 0, { maxAttempts: 2 });
  send();
  await until(() => sockets[0] !== undefined);
  sockets[0]!.write(`${HEAD}${FIRST}`);
  await until(() => fake.recorded.jobUpdates.includes("e0 started"));
  fake.placeNext = (reply, grant) => {
    const { upstream } = grant.job;
    reply(ok({ ...grant, addresses: { [upstream]: "127.0.0.1:1" } }));
  };
  await pass(SILENCE_LIMIT_MS);
  await until(() => fake.recorded.jobUpdates.includes("e1 failed"));
  await settle();
  expect([sockets[0]!.destroyed, fake.recorded.retries]).toEqual([false, []]);
  sockets[0]!.end(SECOND);
  await until(() => response !== undefined);
  expect(response).toMatchObject({ body: WHOLE, complete: true });
});

test("memory reserved for a prompt whose upstream hangs is released at the silence limit", async () => {
  await start(2);
  const { place } = fake;
  const helper = "e9" as UpstreamId;
  const tickets = [{ upstream: helper, tokens: 1_000 }];
  // The second place, like the first one, needs memory on another engine.
  Object.assign(fake, {
    place: (...[ask, reply]: Parameters<FakePort["place"]>) =>
      place(ask, (result) =>
        reply(result.map((grant) => ({
          ...grant,
          job: { ...grant.job, tickets },
          addresses: { ...grant.addresses, [helper]: "127.0.0.1:1" },
        })))),
  });
  const orders = fake.orders as FakeEngineOrders;
  send();
  await until(() => sockets[0] !== undefined);
  await pass(SILENCE_LIMIT_MS);
  await until(() => sockets[1] !== undefined);
  expect(sockets[0]!.destroyed || sockets[0]!.readableEnded).toBe(true);
  expect(orders.calls.slice(0, 3)).toEqual([
    "reserve r1.1 1000",
    "release r1.1",
    "reserve r1.2 1000",
  ]);
  sockets[1]!.end(`${HEAD}${WHOLE}`);
  await until(() => response !== undefined);
  expect(response).toMatchObject({ body: WHOLE, complete: true });
  expect(fake.recorded.contentOutcomes).toEqual(["lost e0", "answered e1"]);
});
