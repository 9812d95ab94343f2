import type { AnswerEnd } from "./answer_writer.ts";

/** The API that the client spoke. */
export type AnswerApi = "chat" | "completion";

/** What every part of an answer repeats. */
export type AnswerHead = Readonly<
  { api: AnswerApi; id: string; model: string; createdAt: number }
>;

/** Builds one chunk of a streamed answer, in the shape of the OpenAI API. */
export function tokenChunk(head: AnswerHead, text: string): string {
  const choice = head.api === "chat"
    ? { index: 0, delta: { content: text } }
    : { index: 0, text };
  return JSON.stringify({
    ...base(head, true),
    choices: [{ ...choice, finish_reason: null }],
  });
}

/** Builds the final chunk; its `count` is the number of events before it. */
export function endChunk(head: AnswerHead, end: AnswerEnd): string {
  const choice = head.api === "chat"
    ? { index: 0, delta: {} }
    : { index: 0, text: "" };
  const choices = [{ ...choice, finish_reason: end.finish }];
  return JSON.stringify({
    ...base(head, true),
    choices,
    usage: usage(end),
    count: end.count,
  });
}

/** Builds a whole answer. */
export function wholeAnswer(
  head: AnswerHead,
  text: string,
  end: AnswerEnd,
): string {
  const choice = head.api === "chat"
    ? { index: 0, message: { role: "assistant", content: text } }
    : { index: 0, text };
  const choices = [{ ...choice, finish_reason: end.finish }];
  return JSON.stringify({
    ...base(head, false),
    choices,
    usage: usage(end),
    count: end.count,
  });
}

function base(head: AnswerHead, chunk: boolean) {
  const chat = chunk ? "chat.completion.chunk" : "chat.completion";
  return {
    id: head.id,
    object: head.api === "chat" ? chat : "text_completion",
    created: head.createdAt,
    model: head.model,
  };
}

function usage(end: AnswerEnd) {
  return {
    prompt_tokens: end.promptTokens,
    completion_tokens: end.count,
    total_tokens: end.promptTokens + end.count,
    prompt_tokens_details: { cached_tokens: end.cachedTokens },
  };
}
