import { afterEach, describe, expect, test } from "vitest";
import {
  FrontServerFixture,
  responseHeadText,
  type UpstreamScript,
} from "../../testing/front_server_fixture.ts";
import { PlainClient, requestText } from "../../testing/plain_client.ts";

let fixture: FrontServerFixture;
afterEach(() => fixture.close());

const SEAL = { "X-Response-Seal": "s" };
const EVENTS = [1, 2, 3, 4].map((id) => eventText(id, "word"));

function eventText(id: number, word: string): string {
  return `id: ${id}\ndata: ${word} ${id}\n\n`;
}

/** Sends the head of a stream that announces the length of `body`, and then the part `sent` of it. */
function stream(
  body: string,
  options: Readonly<{ sent?: string; hasLength?: boolean }> = {},
): UpstreamScript {
  const { sent, hasLength = true } = options;
  const head = responseHeadText(200, {
    ...SEAL,
    "Content-Type": "text/event-stream",
    ...(hasLength ? { "Content-Length": body.length } : {}),
  });
  return (socket) => {
    socket.write(head + (sent ?? body));
    if (sent === undefined) socket.end();
    else setTimeout(() => socket.resetAndDestroy(), 20);
  };
}

const whole = EVENTS.join("");
const rest = (first: number, word: string) =>
  [1, 2, 3, 4].slice(first).map((id) => eventText(id, word)).join("");

// Guards against clients that take a part of a stream for all of it, or wait for bytes that never come and take the next
// response for them.
describe("the length that one upstream announced was kept for a stream with events of another", () => {
  const longer = rest(2, "longer word");
  const shorter = rest(2, "");
  test.each([
    ["a longer rest", 2, "", longer, true],
    ["a shorter rest", 2, "", shorter, true],
    ["a rest after one event", 1, "", rest(1, "longer word"), true],
    ["a rest after a part of an event", 2, "id: 3\nda", longer, true],
    ["a rest that ends with its connection", 2, "", longer, false],
  ])("%s", async (_, events, part, text, hasLength) => {
    const sent = EVENTS.slice(0, events).join("");
    fixture = await FrontServerFixture.start([
      stream(whole, { sent: sent + part }),
      stream(text, { hasLength }),
    ]);
    const res = await fixture.send("/ask/x");
    expect([res.body, res.complete]).toEqual([sent + text, true]);
  });

  test("where the client resumes a stream and the upstream begins anew", async () => {
    fixture = await FrontServerFixture.start([stream(whole)]);
    const res = await fixture.send("/ask/x", { "last-event-id": "2" });
    expect([res.body, res.complete]).toEqual([rest(2, "word"), true]);
  });

  test("and the next response on the connection was read as its end", async () => {
    const sent = EVENTS.slice(0, 2).join("");
    fixture = await FrontServerFixture.start([
      stream(whole, { sent }),
      (socket) =>
        socket.end(
          responseHeadText(200, {
            ...SEAL,
            "X-Request-Id": "r2",
            "Content-Length": 2,
          }) + "ok",
        ),
      // The next request is placed before the first one is placed again.
      stream(shorter),
    ]);
    const client = await PlainClient.connect(fixture.port);
    client.write(requestText("/ask/x"));
    client.write(requestText("/lookup/x", { id: "r2" }));
    await expect.poll(() => client.received, { timeout: 3_000 })
      .toMatch(/ok$/);
    client.close();
    const [, first] = client.received.split("HTTP/1.1 200 ");
    expect(first).not.toMatch(/content-length/i);
    expect(first).toMatch(/transfer-encoding: chunked/i);
    expect(first?.endsWith("\r\n0\r\n\r\n")).toBe(true);
  });
});

// Guards against a failure whose body is ended by the events of another upstream's success.
test("a failure that broke off within its events was resumed", async () => {
  const failed: UpstreamScript = (socket) => {
    const type = { "Content-Type": "text/event-stream" };
    socket.write(
      responseHeadText(404, { ...SEAL, ...type, "Content-Length": 99 }),
    );
    socket.write(EVENTS[0]!);
    setTimeout(() => socket.resetAndDestroy(), 20);
  };
  fixture = await FrontServerFixture.start([failed, stream(whole)]);
  const res = await fixture.send("/ask/x");
  expect([res.status, res.complete]).toEqual([404, false]);
  expect(res.body).toBe(EVENTS[0]);
});
