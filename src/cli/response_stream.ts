import { createParser, type EventSourceMessage } from "eventsource-parser";
import { err, errAsync, ok, type Result, ResultAsync } from "neverthrow";
import { z } from "zod";
import type { Verdict } from "../core/verdict.ts";
import {
  type ResponseEvent,
  type SendError,
  SendErrorSchema,
} from "./prompt_client.ts";

const MAX_PROBLEM_BYTES = 65_536;

const ChunkSchema = z.object({
  choices: z.array(z.object({
    text: z.string().default(""),
    delta: z.object({ content: z.string().optional() }).optional(),
    finish_reason: z.string().nullable().optional(),
  })).min(1),
  usage: z.object({ prompt_tokens: z.number() }).optional(),
  count: z.number().int().optional(),
});

/** Reads events up to the final one; a stream that ends earlier is an error. */
export async function readResponseStream(
  body: AsyncIterable<Uint8Array>,
  onEvent: (event: ResponseEvent) => void,
): Promise<Result<void, SendError>> {
  let end: Result<void, SendError> | undefined;
  const parser = createParser({
    onEvent: (message) => {
      if (end === undefined) end = handleMessage(message, onEvent);
    },
  });
  const decoder = new TextDecoder();
  try {
    for await (const chunk of body) {
      parser.feed(decoder.decode(chunk, { stream: true }));
      if (end !== undefined) break;
    }
  } catch (cause) {
    return err(brokenConnection("may_have_run", String(cause)));
  }
  return end ??
    err(
      brokenConnection(
        "may_have_run",
        "the stream ended before its final event",
      ),
    );
}

function handleMessage(
  message: EventSourceMessage,
  onEvent: (event: ResponseEvent) => void,
): Result<void, SendError> | undefined {
  const value = parseJson(message.data);
  if (message.event === "error") return err(toSendError(value));
  const chunk = ChunkSchema.safeParse(value);
  if (!chunk.success) {
    return err(
      brokenConnection("may_have_run", "the stream has a malformed event"),
    );
  }
  const choice = chunk.data.choices[0];
  if (message.event === "done") {
    onEvent({
      type: "done",
      count: chunk.data.count ?? -1,
      finish: choice?.finish_reason ?? "",
      promptTokens: chunk.data.usage?.prompt_tokens ?? 0,
    });
    return ok(undefined);
  }
  const text = choice?.delta?.content ?? choice?.text ?? "";
  onEvent({ type: "token", index: Number(message.id) - 1, text });
  return undefined;
}

/** Reads the problem body of an error response; always resolves to an error. */
export function readProblemBody(
  body: Readonly<{ text(): Promise<string> }>,
): ResultAsync<void, SendError> {
  return ResultAsync.fromPromise(
    body.text(),
    (cause) => brokenConnection("may_have_run", String(cause)),
  ).andThen((text) => {
    const value = parseJson(text.slice(0, MAX_PROBLEM_BYTES));
    return errAsync<void, SendError>(toSendError(value));
  });
}

function toSendError(value: unknown): SendError {
  const parsed = SendErrorSchema.safeParse(value);
  if (parsed.success) return parsed.data;
  return brokenConnection("may_have_run", "the error has no problem body");
}

/** Builds the error of a connection that broke or could not be opened. */
export function brokenConnection(verdict: Verdict, detail: string): SendError {
  return { code: "connection_broken", status: 0, verdict, detail };
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
