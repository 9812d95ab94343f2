import { afterEach, describe, expect, test } from "vitest";
import {
  FrontServerFixture,
  responseHeadText,
  type UpstreamScript,
} from "../../testing/front_server_fixture.ts";
import type { Route } from "../serving/serving_config.ts";
import { promisesNotRun } from "./not_run_promise.ts";

let play: FrontServerFixture;
afterEach(() => play.close());

const ROUTES = ["/reserve/x", "/lookup/x", "/ask/x"];
/** Statuses that promise something and, alone, prove nothing. */
const STATUSES = [408, 429, 503];
const SEAL = { "X-Response-Seal": "s" };

/** Runs the request, and answers with a status that promises that it has not run. */
function fails(
  status: number,
  headers: Readonly<Record<string, string>> = SEAL,
): UpstreamScript {
  const head = responseHeadText(status, { ...headers, "Content-Length": 2 });
  return (socket) => void socket.end(`${head}no`);
}

const refuses = fails(503, { "X-Not-Executed": "1" });
const breaksOff: UpstreamScript = (socket) => socket.destroy();

async function statusOf(
  path: string,
  scripts: readonly UpstreamScript[],
  fields: Partial<Route> = {},
): Promise<number> {
  play = await FrontServerFixture.start(scripts, fields);
  const { status, headers, complete } = await play.send(path);
  expect(complete).toBe(true);
  // A response of our own must not look like the upstream's.
  expect(headers).not.toHaveProperty("x-response-seal");
  return status;
}

// Guards against a promise that is untrue: the client sends the request again, and it runs twice.
describe("a request that may have run was answered as one that has not", () => {
  const cases = ROUTES.flatMap((path) =>
    STATUSES.map((status) => [path, status] as const)
  );
  test.each(cases)("%s, by its only attempt: %i", async (path, status) => {
    expect(await statusOf(path, [fails(status)], { maxAttempts: 1 })).toBe(502);
  });

  test.each(cases)("%s, by all attempts: %i", async (path, status) => {
    expect(await statusOf(path, [fails(status), fails(status)])).toBe(502);
  });

  test.each(cases)("%s, after a refusal: %i", async (path, status) => {
    expect(await statusOf(path, [refuses, fails(status), fails(status)]))
      .toBe(502);
  });

  test.each(cases)("%s, before refusals: %i", async (path, status) => {
    expect(await statusOf(path, [fails(status), refuses])).toBe(502);
  });

  test.each(cases)("%s, after a break: %i", async (path, status) => {
    expect(await statusOf(path, [breaksOff, fails(status)])).toBe(502);
  });
});

test.each(ROUTES)(
  "a refusal by all upstreams is passed on: %s",
  async (path) => {
    expect(await statusOf(path, [refuses])).toBe(503);
  },
);

test("an upstream that isn't the expected one proves by 421 that it has not run the request", async () => {
  expect(await statusOf("/reserve/x", [fails(421, {})])).toBe(503);
});

test("a repeatable request is sent again after an unproven refusal", async () => {
  play = await FrontServerFixture.start([
    fails(503),
    (socket) =>
      void socket.end(
        responseHeadText(200, { ...SEAL, "Content-Length": 2 }) + "ok",
      ),
  ]);
  expect(await play.send("/lookup/x")).toMatchObject({
    status: 200,
    body: "ok",
  });
});

test("what an upstream announces in an unproven refusal holds, and the log says why it was not passed on", async () => {
  const headers = { ...SEAL, "Retry-After": "0.5", "Server-Leaving": "1" };
  expect(await statusOf("/reserve/x", [fails(503, headers)])).toBe(502);
  const { availability, lineFields } = play.exchangePort.recorded;
  expect(availability).toEqual(["e0 leaving", "e0 back in 500"]);
  expect(lineFields).toContainEqual(expect.objectContaining({
    kind: "attempt_failed",
    cause: "upstream_refused",
    verdict: "may_have_run",
    detail: "The upstream answered 503 and may have run the request",
    then: "give_up",
  }));
});

test.each([
  [408, true],
  [421, true],
  [429, true],
  [503, true],
  [404, false],
  [409, false],
  [500, false],
  [502, false],
  [504, false],
])("the status %i promises that the request has not run: %s", (status, yes) => {
  expect(promisesNotRun(status)).toBe(yes);
});
