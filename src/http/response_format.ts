import type { ResponseEnd } from "./response_writer.ts";

/** The OpenAI API that the client used. */
export type PromptApi = "chat" | "completion";

/** Values that every chunk of a response repeats; `createdAt` is in seconds since the Unix epoch. */
export type ResponseMetadata = Readonly<
  { api: PromptApi; id: string; model: string; createdAt: number }
>;

/** Builds one chunk of a streamed response, in the format of the OpenAI API. */
export function tokenChunk(metadata: ResponseMetadata, text: string): string {
  const choice = metadata.api === "chat"
    ? { index: 0, delta: { content: text } }
    : { index: 0, text };
  return JSON.stringify({
    ...commonFields(metadata, true),
    choices: [{ ...choice, finish_reason: null }],
  });
}

/** Builds the final chunk; its `count` is the number of token events before it. */
export function endChunk(metadata: ResponseMetadata, end: ResponseEnd): string {
  const choice = metadata.api === "chat"
    ? { index: 0, delta: {} }
    : { index: 0, text: "" };
  const choices = [{ ...choice, finish_reason: end.finish }];
  return JSON.stringify({
    ...commonFields(metadata, true),
    choices,
    usage: usage(end),
    count: end.count,
  });
}

/** Builds the complete body of a response that is not streamed. */
export function completeResponse(
  metadata: ResponseMetadata,
  text: string,
  end: ResponseEnd,
): string {
  const choice = metadata.api === "chat"
    ? { index: 0, message: { role: "assistant", content: text } }
    : { index: 0, text };
  const choices = [{ ...choice, finish_reason: end.finish }];
  return JSON.stringify({
    ...commonFields(metadata, false),
    choices,
    usage: usage(end),
    count: end.count,
  });
}

function commonFields(metadata: ResponseMetadata, chunk: boolean) {
  const chat = chunk ? "chat.completion.chunk" : "chat.completion";
  return {
    id: metadata.id,
    object: metadata.api === "chat" ? chat : "text_completion",
    created: metadata.createdAt,
    model: metadata.model,
  };
}

function usage(end: ResponseEnd) {
  return {
    prompt_tokens: end.promptTokens,
    completion_tokens: end.count,
    total_tokens: end.promptTokens + end.count,
    prompt_tokens_details: { cached_tokens: end.cachedTokens },
  };
}
