import { afterEach, expect, test } from "vitest";
import {
  FrontServerFixture,
  responseHeadText,
  type UpstreamScript,
} from "../../testing/front_server_fixture.ts";
import { PlainClient, requestText } from "../../testing/plain_client.ts";

let fixture: FrontServerFixture;
const reached: string[] = [];
const closed: string[] = [];

/** An upstream that never answers, and records the connections that end. */
function silent(name: string): UpstreamScript {
  return (socket) => {
    reached.push(name);
    socket.on("close", () => closed.push(name));
  };
}

afterEach(() => {
  fixture.close();
  reached.length = 0;
  closed.length = 0;
});

test("requests that wait behind another are cancelled when their client leaves", async () => {
  fixture = await FrontServerFixture.start(
    [silent("first"), silent("second"), silent("third")],
    { kind: "repeatable", timeoutMs: 60_000 as never },
  );
  const client = await PlainClient.connect(fixture.port);
  for (const id of ["r1", "r2", "r3"]) {
    client.write(requestText("/lookup/x", { id }));
  }
  await expect.poll(() => reached.length, { timeout: 3_000 }).toBe(3);
  expect(fixture.frontServer.openRequests).toBe(3);
  client.close();
  await expect.poll(() => [...closed].sort(), { timeout: 3_000 })
    .toEqual(["first", "second", "third"]);
  expect(fixture.frontServer.openRequests).toBe(0);
  expect(fixture.exchangePort.recorded.lineFields
    .filter(({ kind }) => kind === "client_left")).toHaveLength(3);
});

test("responses that wait behind another are sent in order while their client stays", async () => {
  const answer: UpstreamScript = (socket) => {
    const headers = { "X-Response-Seal": "seal", "Content-Length": 2 };
    setTimeout(() => socket.end(responseHeadText(200, headers) + "ok"), 100);
  };
  fixture = await FrontServerFixture.start([answer, answer, answer], {
    kind: "repeatable",
  });
  const client = await PlainClient.connect(fixture.port);
  for (let i = 0; i < 3; i += 1) client.write(requestText("/lookup/x"));
  await expect.poll(() => client.statuses, { timeout: 3_000 })
    .toEqual([200, 200, 200]);
  client.close();
  await expect.poll(() => fixture.frontServer.openRequests).toBe(0);
});
