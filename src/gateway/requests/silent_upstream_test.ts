import type { Socket } from "node:net";
import { err, ok, okAsync, ResultAsync } from "neverthrow";
import { afterEach, beforeEach, describe, expect, test, vi } from "vitest";
import { problem } from "../../core/problem.ts";
import type { UpstreamId } from "../../core/id.ts";
import type { Millis } from "../../core/time.ts";
import type { FakePlacer, FakePort } from "../../testing/fake_gateway_port.ts";
import {
  type FrontResponse,
  FrontServerFixture,
  responseHeadText,
} from "../../testing/front_server_fixture.ts";
import type { Route } from "../serving/serving_config.ts";
import { ClientResponse } from "./client_response.ts";

/** Pause of the upstreams, beyond the silence limit of the routes. */
const PAUSE_MS: Millis = 1_600;
const SILENCE_LIMIT_MS: Millis = 1_200;
const TIMEOUT_MS: Millis = 10_000;

const SEAL = { "X-Response-Seal": "s" };
const HEAD = responseHeadText(200, {
  ...SEAL,
  "Content-Type": "text/event-stream",
});
const [FIRST, SECOND] = ["id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"];
const WHOLE = `${FIRST}${SECOND}`;

let play: FrontServerFixture;
let fake: FakePort;
/** Connection of each upstream that a request has reached. */
let sockets: Socket[];
let response: FrontResponse | undefined;
let leave: AbortController;

beforeEach(() => {
  vi.useFakeTimers({ toFake: ["setTimeout", "clearTimeout", "performance"] });
});
afterEach(() => {
  leave.abort();
  for (const socket of sockets) socket.destroy();
  play.close();
  vi.restoreAllMocks();
  vi.useRealTimers();
});

/** Starts two upstreams that send only what the test writes, and sends a request that reaches the first one. */
async function send(
  path: string,
  fields: Partial<Route> = {},
): Promise<void> {
  sockets = [];
  response = undefined;
  const client = new AbortController();
  leave = client;
  const script = (index: number) => (socket: Socket) => {
    sockets[index] = socket;
  };
  play = await FrontServerFixture.start([script(0), script(1)], {
    timeoutMs: TIMEOUT_MS,
    ...fields,
  });
  // The global clock is the virtual one.
  fake = Object.assign(play.exchangePort, { now: () => performance.now() });
  const headers = { "x-deadline-ms": String(2 * TIMEOUT_MS) };
  void play.send(path, headers, { signal: client.signal }).then((res) => {
    if (leave === client) response = res;
  });
  await until(() => sockets[0] !== undefined);
}

/** Waits for I/O, which takes no virtual time. */
async function until(condition: () => boolean): Promise<void> {
  while (!condition()) await new Promise((resolve) => setImmediate(resolve));
}

async function pass(ms: Millis): Promise<void> {
  await vi.advanceTimersByTimeAsync(ms);
}

/** Waits until the exchange has reported an update of a job, as `e0 started`. */
async function reported(update: string): Promise<void> {
  await until(() => fake.recorded.jobUpdates.includes(update));
}

async function end(index: number, bytes: string): Promise<FrontResponse> {
  sockets[index]!.end(bytes);
  await until(() => response !== undefined);
  return response!;
}

/** Holds the next placement; returns the functions that answer it. */
function holdPlacement() {
  let held: Parameters<FakePlacer> | undefined;
  fake.placeNext = (...call) => held = call;
  return {
    asked: () => held !== undefined,
    grant: () => held![0](ok(held![1])),
    deny: () => held![0](err(problem("no_upstream", "None"))),
  };
}

describe("a stream whose upstreams pause for 1.6 s is not cut", () => {
  test("where both attempts pause, and the second one goes on", async () => {
    await send("/ask/x");
    sockets[0]!.write(`${HEAD}${FIRST}`);
    await reported("e0 started");
    await pass(SILENCE_LIMIT_MS);
    await until(() => sockets[1] !== undefined);
    await until(() => sockets[0]!.destroyed);
    await pass(PAUSE_MS);
    expect(response).toBeUndefined();
    expect(await end(1, `${HEAD}${SECOND}`))
      .toMatchObject({ status: 200, body: WHOLE, complete: true });
    expect(fake.recorded.retries).toHaveLength(1);
  });

  test.each<[string, Partial<Route>, () => void]>([
    ["one attempt is allowed", { maxAttempts: 1 }, () => {}],
    ["the retry budget is empty", {}, () => fake.retriesLeft = 0],
    [
      "no other place is free",
      {},
      () => fake.placeNext = (reply) => reply(err(problem("no_upstream", "-"))),
    ],
  ])("where %s", async (_, fields, limit) => {
    await send("/ask/x", fields);
    limit();
    sockets[0]!.write(`${HEAD}${FIRST}`);
    await reported("e0 started");
    await pass(2 * PAUSE_MS);
    expect(response).toBeUndefined();
    const { body, complete } = await end(0, SECOND);
    expect([body, complete]).toEqual([WHOLE, true]);
    expect(sockets).toHaveLength(1);
    expect(fake.recorded.retries).toEqual([]);
  });

  test("before their first event", async () => {
    await send("/ask/x", { maxAttempts: 1 });
    await pass(PAUSE_MS);
    const { body, complete } = await end(0, `${HEAD}${WHOLE}`);
    expect([body, complete]).toEqual([WHOLE, true]);
  });
});

describe("a repeatable call whose upstreams pause is not refused", () => {
  const CALL = responseHeadText(200, { ...SEAL, "Content-Length": 4 });
  const CALL_LIMIT_MS: Millis = 0.45 * 3_000;

  test("where both attempts reach the silence limit", async () => {
    await send("/lookup/x", { timeoutMs: 3_000 });
    await pass(CALL_LIMIT_MS);
    await until(() => sockets[1] !== undefined);
    await pass(CALL_LIMIT_MS);
    expect(response).toBeUndefined();
    const { status, body } = await end(1, `${CALL}okay`);
    expect([status, body]).toEqual([200, "okay"]);
  });

  test("within a body that no other attempt can continue", async () => {
    await send("/lookup/x", { timeoutMs: 3_000 });
    sockets[0]!.write(`${CALL}ok`);
    await reported("e0 started");
    await pass(2 * CALL_LIMIT_MS);
    const { body, complete } = await end(0, "ay");
    expect([body, complete]).toEqual(["okay", true]);
    expect(sockets).toHaveLength(1);
  });

  test("whose head arrives while another place is sought", async () => {
    await send("/lookup/x", { timeoutMs: 3_000 });
    const place = holdPlacement();
    await pass(CALL_LIMIT_MS);
    sockets[0]!.write(CALL);
    await reported("e0 silence ended");
    place.grant();
    const { body, complete } = await end(0, "okay");
    expect([body, complete]).toEqual(["okay", true]);
    expect(sockets).toHaveLength(1);
  });
});

describe("an upstream whose data a slow client holds back is not taken for silent", () => {
  let drain = () => {};

  beforeEach(async () => {
    const { write } = ClientResponse.prototype;
    vi.spyOn(ClientResponse.prototype, "write").mockImplementationOnce(
      function (this: ClientResponse, bytes, onDrained) {
        drain = onDrained;
        write.call(this, bytes, () => {});
        return false;
      },
    );
    await send("/ask/x");
    sockets[0]!.write(`${HEAD}${FIRST}`);
    await reported("e0 started");
    await pass(2 * PAUSE_MS);
    expect(fake.recorded.lines).toEqual([]);
  });

  test("when the client goes on", async () => {
    drain();
    await pass(SILENCE_LIMIT_MS - 1);
    expect(fake.recorded.lines).toEqual([]);
    const { body, complete } = await end(0, SECOND);
    expect([body, complete]).toEqual([WHOLE, true]);
    drain();
    await pass(PAUSE_MS);
    expect(fake.recorded.lines).toEqual(["answered"]);
  });

  test("when the client leaves", async () => {
    leave.abort();
    await until(() => fake.recorded.lines.includes("client_left"));
    expect(fake.recorded.contentOutcomes).toEqual([]);
  });
});

describe("a silent attempt goes on until another one is sent in its place", () => {
  async function fallSilent() {
    await send("/ask/x");
    const place = holdPlacement();
    sockets[0]!.write(`${HEAD}${FIRST}`);
    await reported("e0 started");
    await pass(SILENCE_LIMIT_MS);
    expect(place.asked()).toBe(true);
    expect(fake.recorded.avoided).toEqual(["", "e0"]);
    return place;
  }

  async function continueFirst(): Promise<void> {
    const { body, complete } = await end(0, SECOND);
    expect([body, complete]).toEqual([WHOLE, true]);
    expect(sockets).toHaveLength(1);
    expect(fake.recorded.retries).toEqual([]);
  }

  test("it ends when the other one may be sent, and counts as failed once", async () => {
    const place = await fallSilent();
    await pass(SILENCE_LIMIT_MS);
    expect(sockets[0]!.destroyed).toBe(false);
    place.grant();
    await until(() => sockets[1] !== undefined);
    await until(() => sockets[0]!.destroyed);
    expect((await end(1, `${HEAD}${SECOND}`)).body).toBe(WHOLE);
    expect(fake.recorded).toMatchObject({
      contentOutcomes: ["lost e0", "answered e1"],
      jobUpdates: [
        "e0 started",
        "e0 silence begun",
        "e0 silence lasting",
        "e1 started",
        "e1 ended",
      ],
      lines: ["attempt_silent", "attempt_failed", "answered"],
    });
  });

  test("data that arrives first withdraws the placement", async () => {
    await fallSilent();
    sockets[0]!.write(SECOND);
    await reported("e0 silence ended");
    expect(fake.recorded.withdrawn).toEqual(["r1.2"]);
    expect(fake.recorded.lines).toEqual(["attempt_silent", "attempt_resumed"]);
    sockets[0]!.end();
    await until(() => response !== undefined);
    expect(response!.complete).toBe(true);
    expect(fake.recorded.contentOutcomes).toEqual(["lost e0", "answered e0"]);
  });

  test("data that arrives while memory is reserved gives the place back", async () => {
    await send("/ask/x");
    const calls: string[] = [];
    let reserved = () => {};
    const pending = new Promise<void>((resolve) => reserved = resolve);
    Object.assign(fake.orders, {
      reserve: ({ ticket }: { ticket: string }) => {
        calls.push(`reserve ${ticket}`);
        return ResultAsync.fromSafePromise(pending);
      },
      release: (_address: string, ticket: string) => {
        calls.push(`release ${ticket}`);
        return okAsync(undefined);
      },
    });
    fake.placeNext = (reply, grant) => {
      const upstream = "e2" as UpstreamId;
      const tickets = [{ upstream, tokens: 1_000 }];
      const addresses = { ...grant.addresses, [upstream]: "127.0.0.1:1" };
      const job = { ...grant.job, helpers: [upstream], tickets };
      reply(ok({ ...grant, job, addresses }));
    };
    sockets[0]!.write(`${HEAD}${FIRST}`);
    await reported("e0 started");
    await pass(SILENCE_LIMIT_MS);
    await until(() => calls.length > 0);
    sockets[0]!.write(SECOND);
    await reported("e0 silence ended");
    expect(fake.recorded.jobUpdates.at(-1)).toBe("e1 ended");
    expect(fake.recorded.contentOutcomes).toEqual(["lost e0", "not_run e1"]);
    // No other place is granted, so that the first upstream goes on to the end.
    fake.placeNext = () => {};
    reserved();
    await pass(TIMEOUT_MS / 2);
    // The second release follows a reservation that was on its way.
    expect(calls.filter((call) => call.endsWith("r1.2")))
      .toEqual(["reserve r1.2", "release r1.2", "release r1.2"]);
    sockets[0]!.end();
    await until(() => response !== undefined);
    expect(response!.body).toBe(WHOLE);
  });

  test("another place is sought again after a denial, in few lines", async () => {
    const { deny } = await fallSilent();
    deny();
    for (let i = 0; i < 4; i += 1) {
      fake.placeNext = (reply) => reply(err(problem("no_upstream", "None")));
      await pass(SILENCE_LIMIT_MS);
    }
    expect(fake.recorded.avoided).toHaveLength(6);
    expect(fake.recorded.lines).toEqual(["attempt_silent", "attempt_silent"]);
    await continueFirst();
  });

  test("a place on an upstream that has closed is not used", async () => {
    const place = await fallSilent();
    fake.closures.set("e1" as UpstreamId, {
      reason: "draining",
      knownAt: fake.now(),
    });
    place.grant();
    await continueFirst();
  });

  test("a budget that was spent meanwhile leaves the place unused", async () => {
    const place = await fallSilent();
    fake.retriesLeft = 0;
    place.grant();
    await reported("e1 ended");
    expect(fake.recorded.jobUpdates.at(-1)).toBe("e1 ended");
    await continueFirst();
  });

  test("its real end leaves the place to the next attempt, for one retry", async () => {
    const place = await fallSilent();
    sockets[0]!.resetAndDestroy();
    await reported("e0 failed");
    place.grant();
    await until(() => sockets[1] !== undefined);
    expect((await end(1, `${HEAD}${SECOND}`)).body).toBe(WHOLE);
    expect(fake.recorded.retries).toHaveLength(1);
    expect(fake.recorded.withdrawn).toEqual([]);
  });

  test("the deadline ends it with one final response", async () => {
    await send("/ask/x");
    holdPlacement();
    await pass(TIMEOUT_MS);
    await until(() => response !== undefined);
    expect(response!.status).toBe(504);
    expect(fake.recorded.problems).toEqual(["deadline_exceeded may_have_run"]);
    expect(fake.recorded.withdrawn).toEqual(["r1.2"]);
    expect(fake.recorded.jobUpdates)
      .toEqual(["e0 silence begun", "e0 silence lasting"]);
    await until(() => sockets[0]!.destroyed);
  });

  test("the client's leaving ends it, and withdraws the placement", async () => {
    const place = await fallSilent();
    leave.abort();
    await until(() => fake.recorded.lines.includes("client_left"));
    expect(fake.recorded.withdrawn).toEqual(["r1.2"]);
    expect(fake.recorded.jobUpdates.at(-1)).toBe("e0 silence lasting");
    place.grant();
    await pass(TIMEOUT_MS);
    await until(() => sockets[0]!.destroyed);
    expect(sockets).toHaveLength(1);
  });
});
