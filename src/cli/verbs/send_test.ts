import { expect, test } from "vitest";
import { createFakeContext } from "../fake_context.ts";
import type { FakeStream } from "../fake_prompt_client.ts";
import type { ResponseEvent, SendError } from "../prompt_client.ts";
import { type SendOptions, sendPrompt } from "../send_prompt.ts";

const HEAD_EVENT: ResponseEvent = {
  type: "head",
  request: "r",
  revision: "7",
  resumeToken: "t",
};
const CONNECTION_BROKEN: SendError = {
  code: "connection_broken",
  status: 0,
  verdict: "may_have_run",
  detail: "reset",
};

function tokenEvent(index: number): ResponseEvent {
  return { type: "token", index, text: `w${index} ` };
}

function doneEvent(count: number): ResponseEvent {
  return { type: "done", count, finish: "stop", promptTokens: 3 };
}

async function runSend(
  streams: readonly FakeStream[],
  patch: Partial<SendOptions> = {},
) {
  const fake = createFakeContext();
  fake.prompts.streams = [...streams];
  const result = await sendPrompt(fake.ctx, {
    prompt: { model: "m", maxTokens: 9, text: "hello" },
    resume: undefined,
    sender: { team: "t" },
    streamed: true,
    ...patch,
  });
  return { result, asked: fake.prompts.calls, written: fake.written };
}

test("a broken stream is resumed at another daemon, and each token is written once", async () => {
  const { result, asked, written } = await runSend([
    {
      events: [HEAD_EVENT, tokenEvent(0), tokenEvent(1)],
      error: CONNECTION_BROKEN,
    },
    { events: [], error: { ...CONNECTION_BROKEN, verdict: "not_run" } },
    { events: [HEAD_EVENT, tokenEvent(1), tokenEvent(2), doneEvent(3)] },
  ]);
  expect(written).toEqual(["w0 ", "w1 ", "w2 "]);
  expect(asked).toEqual(["send a:1", "resume a:1 r:2:t", "resume b:1 r:2:t"]);
  expect(result._unsafeUnwrap().data).toMatchObject({ resumed: 2, count: 3 });
});

test("a prompt that has not run at one address is sent to the next", async () => {
  const { result, asked } = await runSend([
    { events: [], error: { ...CONNECTION_BROKEN, verdict: "not_run" } },
    { events: [HEAD_EVENT, tokenEvent(0), doneEvent(1)] },
  ], { streamed: false });
  expect(asked).toEqual(["send a:1", "send b:1"]);
  expect(result._unsafeUnwrap().lines).toEqual(["w0 "]);
});

test("a response with fewer tokens than its final event states is an error", async () => {
  const { result } = await runSend([{
    events: [HEAD_EVENT, tokenEvent(0), doneEvent(2)],
  }]);
  expect(result._unsafeUnwrapErr()).toMatchObject({
    code: "answer_broken",
    exit: "unknown",
  });
});

test.each(
  [
    [429, "not_run", "failure"],
    [401, "not_run", "bad_input"],
    [504, "may_have_run", "unknown"],
  ] as const,
)("a refusal with %s and %s ends as %s", async (status, verdict, exit) => {
  const error = { code: "c", status, verdict, detail: "d" };
  const { result, asked } = await runSend([{ events: [], error }]);
  expect(asked).toEqual(["send a:1"]);
  expect(result._unsafeUnwrapErr()).toMatchObject({ code: "c", exit });
});

test("the error of a stream that can't be resumed in time contains the --resume value", async () => {
  const streams = Array.from({ length: 200 }, () => ({
    events: [HEAD_EVENT, tokenEvent(0)],
    error: CONNECTION_BROKEN,
  }));
  const { result } = await runSend(streams);
  expect(result._unsafeUnwrapErr()).toMatchObject({
    exit: "unknown",
    detail: "reset (may_have_run); go on with --resume r:1:t",
  });
});

test("an earlier response is resumed after the last received token", async () => {
  const { result, asked, written } = await runSend([
    { events: [HEAD_EVENT, tokenEvent(5), doneEvent(6)] },
  ], {
    prompt: undefined,
    resume: { request: "r", lastEventId: 5, token: "t" },
  });
  expect(asked).toEqual(["resume a:1 r:5:t"]);
  expect(written).toEqual(["w5 "]);
  expect(result.isOk()).toBe(true);
});
