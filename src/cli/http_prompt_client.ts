import { createParser, type EventSourceMessage } from "eventsource-parser";
import { err, errAsync, ok, type Result, ResultAsync } from "neverthrow";
import { type Dispatcher, request } from "undici";
import { z } from "zod";
import { HOUR_MS, type Millis, SECOND_MS } from "../core/time.ts";
import type { Verdict } from "../core/verdict.ts";
import {
  CLASS_HEADER,
  DEADLINE_HEADER,
  LAST_EVENT_HEADER,
  REQUEST_HEADER,
  RESUME_HEADER,
  REVISION_HEADER,
  TEAM_HEADER,
} from "../http/headers.ts";
import {
  type AnswerEvent,
  PromptClient,
  type PromptToSend,
  type ResumePoint,
  type Sender,
  type SendError,
  SendErrorSchema,
} from "./prompt_client.ts";

/** Longest wait for the head of an answer where no deadline is named. */
const HEAD_MS: Millis = HOUR_MS;
/** Time beyond its deadline that a daemon may take to say so. */
const DEADLINE_MARGIN_MS: Millis = 10 * SECOND_MS;
/** A stream that brings nothing for so long has gone silent. */
const SILENCE_MS: Millis = 30_000;
const MAX_PROBLEM_BYTES = 65_536;

type StreamOptions = Readonly<
  { sender: Sender; onEvent: (event: AnswerEvent) => void }
>;

const EntriesSchema = z.object({
  entries: z.array(z.object({ address: z.string() })),
});
const ChunkSchema = z.object({
  choices: z.array(z.object({
    text: z.string().default(""),
    delta: z.object({ content: z.string().optional() }).optional(),
    finish_reason: z.string().nullable().optional(),
  })).min(1),
  usage: z.object({ prompt_tokens: z.number() }).optional(),
  count: z.number().int().optional(),
});

/** Sends prompts over HTTP. */
export class HttpPromptClient extends PromptClient {
  private constructor() {
    super();
  }

  static create(): HttpPromptClient {
    return new HttpPromptClient();
  }

  override send(
    address: string,
    prompt: PromptToSend,
    options: StreamOptions,
  ): ResultAsync<void, SendError> {
    const { model, adapter, version, maxTokens, text } = prompt;
    const body = JSON.stringify({
      model,
      adapter,
      version,
      stream: true,
      max_tokens: maxTokens,
      prompt: text,
    });
    return stream(`http://${address}/v1/completions`, {
      method: "POST",
      headers: { "content-type": "application/json" },
      body,
    }, options);
  }

  override resume(
    address: string,
    point: ResumePoint,
    options: StreamOptions,
  ): ResultAsync<void, SendError> {
    const { request, after, token } = point;
    const path = `/v1/requests/${encodeURIComponent(request)}/stream`;
    return stream(`http://${address}${path}`, {
      method: "GET",
      headers: { [RESUME_HEADER]: token, [LAST_EVENT_HEADER]: String(after) },
    }, options);
  }

  override entries(address: string): ResultAsync<readonly string[], SendError> {
    return ResultAsync.fromPromise(
      readEntries(address),
      (cause) => broken("not_run", String(cause)),
    );
  }
}

type Call = Readonly<{
  method: "GET" | "POST";
  headers: Readonly<Record<string, string>>;
  body?: string;
}>;

function stream(
  url: string,
  call: Call,
  options: StreamOptions,
): ResultAsync<void, SendError> {
  return open(url, call, options.sender).andThen((res) => {
    if (res.statusCode !== 200) return readProblem(res);
    const { headers } = res;
    options.onEvent({
      type: "head",
      request: String(headers[REQUEST_HEADER] ?? ""),
      revision: optional(headers[REVISION_HEADER]),
      resumeToken: optional(headers[RESUME_HEADER]),
    });
    return new ResultAsync(readEvents(res, options.onEvent));
  });
}

function open(
  url: string,
  call: Call,
  sender: Sender,
): ResultAsync<Dispatcher.ResponseData, SendError> {
  return ResultAsync.fromPromise(
    request(url, {
      ...call,
      headers: { ...call.headers, ...senderHeaders(sender) },
      headersTimeout: (sender.deadlineMs ?? HEAD_MS) + DEADLINE_MARGIN_MS,
      bodyTimeout: SILENCE_MS,
    }),
    (cause) => broken(verdictOf(cause), String(cause)),
  );
}

/** Reads events up to the final one; anything short of it is not an answer. */
async function readEvents(
  res: Dispatcher.ResponseData,
  onEvent: (event: AnswerEvent) => void,
): Promise<Result<void, SendError>> {
  let end: Result<void, SendError> | undefined;
  const parser = createParser({
    onEvent: (message) => {
      if (end === undefined) end = takeMessage(message, onEvent);
    },
  });
  const decoder = new TextDecoder();
  try {
    for await (const chunk of res.body) {
      parser.feed(decoder.decode(chunk as Uint8Array, { stream: true }));
      if (end !== undefined) break;
    }
  } catch (cause) {
    return err(broken("may_have_run", String(cause)));
  }
  return end ?? err(broken("may_have_run", "the stream ended without an end"));
}

function takeMessage(
  message: EventSourceMessage,
  onEvent: (event: AnswerEvent) => void,
): Result<void, SendError> | undefined {
  const value = parseJson(message.data);
  if (message.event === "error") return err(toSendError(value));
  const chunk = ChunkSchema.safeParse(value);
  if (!chunk.success) return err(broken("may_have_run", "a malformed event"));
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

function readProblem(
  res: Dispatcher.ResponseData,
): ResultAsync<void, SendError> {
  return ResultAsync.fromPromise(
    res.body.text(),
    (cause) => broken("may_have_run", String(cause)),
  ).andThen((text) => {
    const value = parseJson(text.slice(0, MAX_PROBLEM_BYTES));
    return errAsync<void, SendError>(toSendError(value));
  });
}

function toSendError(value: unknown): SendError {
  const parsed = SendErrorSchema.safeParse(value);
  if (parsed.success) return parsed.data;
  return broken("may_have_run", "a failure without a problem body");
}

async function readEntries(address: string): Promise<readonly string[]> {
  const res = await request(`http://${address}/v1/entries`, {
    headersTimeout: SILENCE_MS,
    bodyTimeout: SILENCE_MS,
  });
  const { entries } = EntriesSchema.parse(await res.body.json());
  return entries.map((entry) => entry.address);
}

function senderHeaders(sender: Sender): Record<string, string> {
  const headers: Record<string, string> = {};
  if (sender.team !== undefined) headers[TEAM_HEADER] = sender.team;
  if (sender.token !== undefined) {
    headers["authorization"] = `Bearer ${sender.token}`;
  }
  if (sender.class !== undefined) headers[CLASS_HEADER] = sender.class;
  if (sender.deadlineMs !== undefined) {
    headers[DEADLINE_HEADER] = String(sender.deadlineMs);
  }
  return headers;
}

/** A connection that was never made carried nothing. */
function verdictOf(cause: unknown): Verdict {
  const code = (cause as { code?: string }).code ?? "";
  const never = ["ECONNREFUSED", "EHOSTUNREACH", "UND_ERR_CONNECT_TIMEOUT"];
  return never.includes(code) ? "not_run" : "may_have_run";
}

function broken(verdict: Verdict, detail: string): SendError {
  return { code: "connection_broken", status: 0, verdict, detail };
}

function optional(
  value: string | string[] | undefined,
): string | undefined {
  return typeof value === "string" ? value : value?.[0];
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
