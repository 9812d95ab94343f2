import { createServer, type Server, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { afterEach, expect, test } from "vitest";
import { problem } from "../core/problem.ts";
import type { ResponseMetadata } from "../http/response_format.ts";
import { SseWriter } from "../http/sse_writer.ts";
import { HttpAdminClient } from "./http_admin_client.ts";
import { HttpPromptClient } from "./http_prompt_client.ts";
import type { ResponseEvent } from "./prompt_client.ts";

const METADATA: ResponseMetadata = {
  api: "completion",
  id: "r",
  model: "m",
  createdAt: 0,
};
const END = {
  count: 2,
  finish: "stop",
  promptTokens: 4,
  cachedTokens: 0,
} as const;

let server: Server | undefined;

afterEach(() => {
  server?.closeAllConnections();
  server?.close();
});

async function serve(
  respond: (writer: SseWriter, res: ServerResponse) => void,
): Promise<string> {
  server = createServer((req, res) => {
    req.resume();
    const headers = () => ({ "x-request-id": "r", "x-resume-token": "t" });
    respond(SseWriter.create({ res, metadata: METADATA, headers }), res);
  });
  await new Promise<void>((resolve) =>
    server?.listen(0, "127.0.0.1", () => resolve())
  );
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

async function sendTo(address: string) {
  const events: ResponseEvent[] = [];
  const prompt = { model: "m", maxTokens: 9, text: "hello" };
  const result = await HttpPromptClient.create().send(address, prompt, {
    sender: { team: "t" },
    onEvent: (event) => events.push(event),
  });
  return { result, events };
}

test("the client decodes the stream that the daemon's SSE writer encodes", async () => {
  const address = await serve((writer) => {
    writer.writeToken(0, "one ");
    writer.writeToken(1, "two");
    writer.end(END);
  });
  const { result, events } = await sendTo(address);
  expect(result.isOk()).toBe(true);
  expect(events).toMatchInlineSnapshot(`
    [
      {
        "request": "r",
        "resumeToken": "t",
        "revision": undefined,
        "type": "head",
      },
      {
        "index": 0,
        "text": "one ",
        "type": "token",
      },
      {
        "index": 1,
        "text": "two",
        "type": "token",
      },
      {
        "count": 2,
        "finish": "stop",
        "promptTokens": 4,
        "type": "done",
      },
    ]
  `);
});

test("an error event within a stream is returned as its problem", async () => {
  const address = await serve((writer) => {
    writer.writeToken(0, "one ");
    writer.fail(problem("deadline_exceeded", "late", { verdict: "ran" }));
  });
  const { result } = await sendTo(address);
  expect(result._unsafeUnwrapErr()).toMatchObject({
    code: "deadline_exceeded",
    verdict: "ran",
  });
});

test("an error response is returned as its problem", async () => {
  const address = await serve((writer) =>
    writer.fail(problem("queue_full", "full"))
  );
  const { result } = await sendTo(address);
  expect(result._unsafeUnwrapErr()).toMatchObject({
    code: "queue_full",
    status: 503,
    verdict: "not_run",
  });
});

test("a stream that breaks before its final event gives may_have_run", async () => {
  const address = await serve((writer, res) => {
    writer.writeToken(0, "one ");
    setImmediate(() => res.destroy());
  });
  const { result } = await sendTo(address);
  expect(result._unsafeUnwrapErr()).toMatchObject({
    code: "connection_broken",
    verdict: "may_have_run",
  });
});

test("a refused connection gives not_run, and unreachable for admin calls", async () => {
  const address = await serve(() => {});
  await new Promise<void>((resolve) => server?.close(() => resolve()));
  const { result } = await sendTo(address);
  expect(result._unsafeUnwrapErr()).toMatchObject({ verdict: "not_run" });
  const admin = HttpAdminClient.create();
  expect((await admin.status(address))._unsafeUnwrapErr().code).toBe(
    "unreachable",
  );
});

test("a status response of another shape is malformed", async () => {
  const address = await serve((_, res) => res.end(`{"id": 4}`));
  const status = await HttpAdminClient.create().status(address);
  expect(status._unsafeUnwrapErr().code).toBe("malformed");
});
