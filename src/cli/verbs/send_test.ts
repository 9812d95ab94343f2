import { expect, test } from "vitest";
import { createFakeContext } from "../fake_context.ts";
import type { FakeStream } from "../fake_prompt_client.ts";
import type { ResponseEvent, SendError } from "../prompt_client.ts";
import { type SendOptions, sendPrompt } from "../send_prompt.ts";

const HEAD: ResponseEvent = {
  type: "head",
  request: "r",
  revision: "7",
  resumeToken: "t",
};
const BROKEN: SendError = {
  code: "connection_broken",
  status: 0,
  verdict: "may_have_run",
  detail: "reset",
};

function token(index: number): ResponseEvent {
  return { type: "token", index, text: `w${index} ` };
}

function done(count: number): ResponseEvent {
  return { type: "done", count, finish: "stop", promptTokens: 3 };
}

async function run(
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

test("a broken stream is resumed elsewhere, and each token is written once", async () => {
  const { result, asked, written } = await run([
    { events: [HEAD, token(0), token(1)], error: BROKEN },
    { events: [], error: { ...BROKEN, verdict: "not_run" } },
    { events: [HEAD, token(1), token(2), done(3)] },
  ]);
  expect(written).toEqual(["w0 ", "w1 ", "w2 "]);
  expect(asked).toEqual(["send a:1", "resume a:1 r:2:t", "resume b:1 r:2:t"]);
  expect(result._unsafeUnwrap().data).toMatchObject({ resumed: 2, count: 3 });
});

test("an address where nothing ran is passed over", async () => {
  const { result, asked } = await run([
    { events: [], error: { ...BROKEN, verdict: "not_run" } },
    { events: [HEAD, token(0), done(1)] },
  ], { streamed: false });
  expect(asked).toEqual(["send a:1", "send b:1"]);
  expect(result._unsafeUnwrap().lines).toEqual(["w0 "]);
});

test("an answer with fewer events than its end says is not an answer", async () => {
  const { result } = await run([{ events: [HEAD, token(0), done(2)] }]);
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
  const { result, asked } = await run([{ events: [], error }]);
  expect(asked).toEqual(["send a:1"]);
  expect(result._unsafeUnwrapErr()).toMatchObject({ code: "c", exit });
});

test("a stream that can't be resumed in time says how to go on", async () => {
  const streams = Array.from({ length: 200 }, () => ({
    events: [HEAD, token(0)],
    error: BROKEN,
  }));
  const { result } = await run(streams);
  expect(result._unsafeUnwrapErr()).toMatchObject({
    exit: "unknown",
    detail: "reset (may_have_run); go on with --resume r:1:t",
  });
});

test("an earlier answer is taken up where it stopped", async () => {
  const { result, asked, written } = await run([
    { events: [HEAD, token(5), done(6)] },
  ], {
    prompt: undefined,
    resume: { request: "r", lastEventId: 5, token: "t" },
  });
  expect(asked).toEqual(["resume a:1 r:5:t"]);
  expect(written).toEqual(["w5 "]);
  expect(result.isOk()).toBe(true);
});
