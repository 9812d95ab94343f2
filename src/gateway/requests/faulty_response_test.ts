import { afterEach, describe, expect, test } from "vitest";
import type { Socket } from "node:net";
import {
  FrontServerFixture,
  responseHeadText,
  type UpstreamScript,
} from "../../testing/front_server_fixture.ts";

let play: FrontServerFixture;
afterEach(() => play.close());

const SEAL = { "X-Response-Seal": "s" };
const STREAM = { ...SEAL, "Content-Type": "text/event-stream" };
const NOT_RUN = { "X-Not-Executed": "1", "Content-Length": 0 };
const EVENTS = ["id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"];

async function request(
  path: string,
  scripts: readonly UpstreamScript[],
  headers: Record<string, string> = {},
) {
  play = await FrontServerFixture.start(scripts);
  return play.send(path, headers);
}

/** Writes chunks of bytes one after the other, then closes the connection or resets it. */
function script(
  chunks: readonly string[],
  ending: "close" | "reset" = "close",
): UpstreamScript {
  return (socket) => void writeAll(socket, chunks, ending);
}

async function writeAll(
  socket: Socket,
  chunks: readonly string[],
  ending: "close" | "reset",
): Promise<void> {
  for (const chunk of chunks) {
    socket.write(chunk);
    await new Promise((resolve) => setTimeout(resolve, 10));
  }
  if (ending === "close") socket.end();
  else socket.resetAndDestroy();
}

const wholeStream = script([responseHeadText(200, STREAM), ...EVENTS]);

describe("an earlier refusal that is written once more", () => {
  const ok = responseHeadText(200, { ...SEAL, "Content-Length": 2 });
  const refusal = (id: Record<string, string>) =>
    responseHeadText(503, { ...NOT_RUN, ...id });

  test("before the answer is no promise for this request", async () => {
    const res = await request("/reserve/x", [
      script([refusal({ "X-Request-Id": "r0" }), `${ok}ok`]),
      script([`${ok}ok`]),
    ]);
    expect(res.status).toBe(502);
    expect(play.exchangePort.recorded.jobUpdates).toHaveLength(1);
  });

  test("without the id of a request is no promise", async () => {
    const [status] = refusal({}).split("\r\n");
    const anonymous = `${status}\r\nX-Not-Executed: 1\r\n` +
      "Content-Length: 0\r\n\r\n";
    const res = await request("/reserve/x", [
      script([anonymous, `${ok}ok`]),
      script([`${ok}ok`]),
    ]);
    expect(res.status).toBe(502);
    expect(play.exchangePort.recorded.jobUpdates).toHaveLength(1);
  });

  test("after the answer changes nothing", async () => {
    const res = await request("/reserve/x", [script([`${ok}ok`, refusal({})])]);
    expect([res.status, res.body, res.complete]).toEqual([200, "ok", true]);
  });

  test("in the same bytes as the answer changes nothing", async () => {
    const res = await request("/reserve/x", [
      script([`${ok}ok${refusal({})}`]),
    ]);
    expect([res.status, res.body, res.complete]).toEqual([200, "ok", true]);
  });
});

describe("a stream that broke off, where the next upstream answers with", () => {
  const begun = script([responseHeadText(200, STREAM), EVENTS[0]!], "reset");
  const text = "Something went wrong\r\n\r\n";
  const length = { "Content-Length": text.length };
  test.each([
    ["an error", responseHeadText(500, { ...SEAL, ...length }) + text],
    ["an error without a length", responseHeadText(500, SEAL) + text],
    ["a refusal", responseHeadText(503, NOT_RUN)],
    ["a missing route", responseHeadText(404, { ...SEAL, ...length }) + text],
    ["another type", responseHeadText(200, { ...SEAL, ...length }) + text],
    [
      "a stream of text",
      responseHeadText(200, STREAM) + text,
    ],
    [
      "a stream that holds the head of an answer",
      responseHeadText(200, STREAM) + responseHeadText(500) + text,
    ],
    [
      "events without ids",
      responseHeadText(200, STREAM) + "data: error\n\n",
    ],
    [
      "a stream without a digest",
      responseHeadText(200, {
        "Content-Type": "text/event-stream",
      }) + EVENTS[1],
    ],
  ])("%s: the stream ends broken after its last event", async (_, bytes) => {
    const res = await request("/ask/x", [begun, script([bytes])]);
    expect(res.body).toBe(EVENTS[0]);
    expect(res.complete).toBe(false);
  });

  test("the rest of the stream: it is complete", async () => {
    const res = await request("/ask/x", [begun, wholeStream]);
    expect([res.body, res.complete]).toEqual([EVENTS.join(""), true]);
  });
});

test.each([
  ["the head of an answer", responseHeadText(500)],
  ["text", "Internal error\n\n"],
  ["a JSON error", '{"error": "crashed"}\n\n'],
])("%s within a stream does not reach the client", async (_, bytes) => {
  const faulty = script([
    responseHeadText(200, STREAM),
    EVENTS[0]!,
    bytes,
    EVENTS[1]!,
  ]);
  const res = await request("/ask/x", [faulty, wholeStream]);
  expect([res.body, res.complete]).toEqual([EVENTS.join(""), true]);
});

test("a resumed stream may have comments, versions and lines that end in CR LF", async () => {
  const events = [
    ": ping\n\n",
    "id: 1\r\ndata: a\r\n\r\n",
    "x-weight-versions: 4\nid: 2\ndata: b\n\n",
    "event: note\nid: 3\ndata\n\n",
  ];
  const res = await request("/ask/x", [
    script([responseHeadText(200, STREAM), ...events]),
  ]);
  expect([res.body, res.complete]).toEqual([events.join(""), true]);
});

describe("an answer whose head stops midway is a failure, wherever it stops", () => {
  const head = responseHeadText(200, { ...SEAL, "Content-Length": 2 });
  const cuts = [4, 12, 15, 17, 18, 40, head.length - 4, head.length - 2];
  test.each(cuts.flatMap((cut) => [
    [cut, "close"] as const,
    [cut, "reset"] as const,
  ]))("after %s bytes, then %s", async (cut, ending) => {
    const res = await request("/reserve/x", [
      script([head.slice(0, cut)], ending),
    ]);
    expect([res.status, res.complete]).toEqual([502, true]);
  });

  test("with an empty line after the status", async () => {
    const res = await request("/reserve/x", [
      script(["HTTP/1.1 200 OK\r\n\r\n"]),
    ]);
    expect([res.status, res.complete]).toEqual([502, true]);
  });

  test("with a broken header", async () => {
    const bad = head.replace(
      "Content-Length",
      "Bad Header: x\r\nContent-Length",
    );
    const res = await request("/reserve/x", [script([`${bad}ok`])]);
    expect([res.status, res.complete]).toEqual([502, true]);
  });
});

describe("an answer without a length or chunks", () => {
  const head = responseHeadText(200, SEAL);

  test("is whole when its connection is closed", async () => {
    const res = await request("/reserve/x", [script([head, "ok", "ay"])]);
    expect([res.status, res.body, res.complete]).toEqual([200, "okay", true]);
  });

  test("is broken when its connection is reset", async () => {
    const res = await request("/reserve/x", [script([head, "ok"], "reset")]);
    expect([res.body, res.complete]).toEqual(["ok", false]);
  });

  test("is broken when it is a stream that ends inside an event", async () => {
    const cut = script([
      responseHeadText(200, STREAM),
      EVENTS[0]!,
      EVENTS[1]!.slice(0, 6),
    ]);
    const alone = await request("/ask/x", [cut]);
    expect([alone.body, alone.complete]).toEqual([EVENTS[0], false]);
    play.close();
    const resumed = await request("/ask/x", [cut, wholeStream]);
    expect([resumed.body, resumed.complete]).toEqual([EVENTS.join(""), true]);
  });

  test("is broken when it is a stream that ends after one end of line", async () => {
    const cut = script([
      responseHeadText(200, STREAM),
      EVENTS[0]!.slice(0, -1),
    ]);
    const res = await request("/ask/x", [cut, wholeStream]);
    expect([res.body, res.complete]).toEqual([EVENTS.join(""), true]);
  });
});

describe("a stream that breaks off before its first event", () => {
  test.each(["close", "reset"] as const)(
    "is sent again, not answered as empty: %s",
    async (ending) => {
      const cut = script([responseHeadText(200, STREAM), "id: 1"], ending);
      const res = await request("/ask/x", [cut, wholeStream]);
      expect([res.body, res.complete]).toEqual([EVENTS.join(""), true]);
    },
  );
});

test.each([
  ["chunk", "5\r\nab"],
  ["chunk size", "2\r\nab\r\n1"],
  ["end of the chunks", "2\r\nab\r\n0\r\n"],
])("a chunked answer that stops inside its %s is broken", async (_, body) => {
  const head = responseHeadText(200, {
    ...SEAL,
    "Transfer-Encoding": "chunked",
  });
  const res = await request("/reserve/x", [script([head, body])]);
  expect([res.status, res.complete]).toEqual([200, false]);
});

test.each(["/lookup/x", "/reserve/x"])(
  "a response whose status can't be passed on fails its attempt, not the daemon: %s",
  async (path) => {
    const head = responseHeadText(99, { ...SEAL, "Content-Length": 2 })
      .replace(" 99 ", " 099 ");
    const res = await request(path, [script([`${head}ok`])]);
    expect(res.status).toBe(502);
  },
);

test("an event without end is replaced by another upstream's stream, and the record says whose it was and why", async () => {
  const piece = "7\r\n: ping\n\r\n".repeat(4_096);
  const endless: UpstreamScript = (socket) => {
    const more = () => {
      while (!socket.destroyed) if (!socket.write(piece)) return;
    };
    const chunked = { ...STREAM, "Transfer-Encoding": "chunked" };
    socket.write(responseHeadText(200, chunked));
    socket.on("drain", more);
    more();
  };
  const res = await request("/ask/x", [endless, wholeStream]);
  expect([res.body, res.complete]).toEqual([EVENTS.join(""), true]);
  const { lineFields, jobUpdates, contentOutcomes } =
    play.exchangePort.recorded;
  expect(lineFields).toContainEqual(expect.objectContaining({
    kind: "attempt_failed",
    upstream: "e0",
    cause: "answer_broken",
    detail: expect.stringMatching(/^(An event exceeds|\d+ bytes came)/),
    then: "retry",
  }));
  // The upstream is to be avoided; the prompt is not suspected.
  expect(jobUpdates).toContain("e0 failed");
  expect(contentOutcomes).not.toContain("lost e0");
});
