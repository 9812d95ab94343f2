import type { Socket } from "node:net";
import { afterEach, describe, expect, test } from "vitest";
import {
  FrontServerFixture,
  responseHeadText,
} from "../../testing/front_server_fixture.ts";
import { PlainClient, requestText } from "../../testing/plain_client.ts";

const BODY = "x".repeat(3_000_000);
const SEAL = { "X-Response-Seal": "s" };
const PART = "a part of the body";
const EVENT = "id: 1\ndata: a\n\n";
const CHUNKED = { ...SEAL, "Transfer-Encoding": "chunked" };
const STREAM = { ...SEAL, "Content-Type": "text/event-stream" };
/** Answers that are reset after the given bytes; a stream may be resumed, so that it is one event and a part of another. */
const ANSWERS = [
  ["without a length", "/reserve/x", SEAL, PART],
  ["without a length, repeatable", "/lookup/x", SEAL, PART],
  ["in chunks", "/reserve/x", CHUNKED, `12\r\n${PART}\r\n`],
  ["as a stream", "/ask/x", STREAM, `${EVENT}id: 2\nda`],
] as const;

const chunkedBody = (path: string) =>
  requestText(path, { headers: { "Transfer-Encoding": "chunked" } }) +
  `${BODY.length.toString(16)}\r\n${BODY}\r\n0\r\n\r\n`;

const UPLOADS = [
  ["with a length", (path: string) => requestText(path, { body: BODY })],
  ["in chunks", chunkedBody],
  [
    "with another request behind it",
    (path: string) =>
      requestText(path, { body: BODY }) +
      requestText("/lookup/next", { id: "r2" }),
  ],
] as const;

let fixture: FrontServerFixture;
let client: PlainClient;

afterEach(() => {
  client.close();
  fixture.close();
});

/** Answers before the upload is read, and resets the connection at once or while it is still being written. */
function answerEarly(
  headers: Readonly<Record<string, string>>,
  body: string,
  delayMs: number,
): (socket: Socket) => void {
  return (socket) => {
    socket.pause();
    socket.write(responseHeadText(200, headers) + body);
    setTimeout(() => socket.resetAndDestroy(), delayMs);
  };
}

/** The first response, as far as it goes. */
async function firstResponse(): Promise<string> {
  await expect.poll(
    () =>
      client.ended !== undefined || client.statuses.length > 1 ||
      /^HTTP\/1\.1 50\d/.test(client.received),
    { timeout: 4_000 },
  ).toBe(true);
  return client.received.split(/(?<=.)HTTP\/1\.1 /s)[0]!;
}

/** Whether a client may take the response for a complete success. */
function looksWhole(response: string, end: PlainClient["ended"]): boolean {
  if (!/^HTTP\/1\.[01] 2/.test(response)) return false;
  if (/\r\ntransfer-encoding: chunked\r\n/i.test(response)) {
    return response.endsWith("\r\n0\r\n\r\n");
  }
  return end === "closed";
}

// The report: an early 200 without a length, reset during the upload, reached the client as a complete answer.
describe("an answer that is reset during the upload is not complete for the client", () => {
  const cases = ANSWERS.flatMap(([answer, path, headers, body]) =>
    UPLOADS.flatMap(([upload, request]) =>
      [0, 20, 300].map((delayMs) =>
        [answer, upload, delayMs, { path, headers, body, request }] as const
      )
    )
  );
  test.each(cases)(
    "%s; upload %s; reset after %s ms",
    async (_answer, _upload, delayMs, { path, headers, body, request }) => {
      const upstream = answerEarly(headers, body, delayMs);
      fixture = await FrontServerFixture.start([upstream, upstream, upstream]);
      client = await PlainClient.connect(fixture.port);
      client.write(request(path));
      expect(looksWhole(await firstResponse(), client.ended)).toBe(false);
    },
  );
});

// HTTP/1.0 has no chunks: only the end of the connection shows that a body is complete.
describe("to a client of HTTP/1.0, a response that broke off looked complete", () => {
  test.each(ANSWERS)("%s", async (_, path, headers, body) => {
    const upstream = answerEarly(headers, body, 100);
    fixture = await FrontServerFixture.start([upstream, upstream]);
    client = await PlainClient.connect(fixture.port);
    const text = requestText(path, { body: "{}" });
    client.write(text.replace("HTTP/1.1", "HTTP/1.0"));
    await expect.poll(() => client.ended, { timeout: 4_000 }).toBeDefined();
    expect(looksWhole(client.received, client.ended)).toBe(false);
  });
});
