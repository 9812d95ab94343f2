import { ResultAsync } from "neverthrow";
import type { Dispatcher } from "undici";
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
  brokenConnection,
  readProblemBody,
  readResponseStream,
} from "./response_stream.ts";
import { DaemonHttp, type DaemonRequest } from "./daemon_http.ts";
import {
  PromptClient,
  type PromptToSend,
  type ResponseEvent,
  type ResumePoint,
  type Sender,
  type SendError,
} from "./prompt_client.ts";

/** Time-out for the response headers of a request without a deadline. */
const DEFAULT_HEADERS_TIMEOUT_MS: Millis = HOUR_MS;
/** Time past the deadline in which the daemon may still report `deadline_exceeded`. */
const DEADLINE_MARGIN_MS: Millis = 10 * SECOND_MS;
/** A stream that delivers no data for this time counts as broken. */
const SILENCE_TIMEOUT_MS: Millis = 30_000;

type Call = DaemonRequest & Readonly<{ path: string }>;

type StreamOptions = Readonly<
  { sender: Sender; onEvent: (event: ResponseEvent) => void }
>;

const EntriesSchema = z.object({
  entries: z.array(z.object({ address: z.string() })),
});

/** Sends prompts over HTTP. */
export class HttpPromptClient extends PromptClient {
  readonly #http: DaemonHttp;

  private constructor(http: DaemonHttp) {
    super();
    this.#http = http;
  }

  static create(http = DaemonHttp.create()): HttpPromptClient {
    return new HttpPromptClient(http);
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
    return this.#stream(address, {
      path: "/v1/completions",
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
    const { request, lastEventId: after, token } = point;
    const path = `/v1/requests/${encodeURIComponent(request)}/stream`;
    return this.#stream(address, {
      path,
      method: "GET",
      headers: { [RESUME_HEADER]: token, [LAST_EVENT_HEADER]: String(after) },
    }, options);
  }

  override entries(address: string): ResultAsync<readonly string[], SendError> {
    return ResultAsync.fromPromise(
      this.#readEntries(address),
      (cause) => brokenConnection("not_run", String(cause)),
    );
  }

  #stream(
    address: string,
    call: Call,
    options: StreamOptions,
  ): ResultAsync<void, SendError> {
    return this.#open(address, call, options.sender).andThen((res) => {
      if (res.statusCode !== 200) return readProblemBody(res.body);
      const { headers } = res;
      options.onEvent({
        type: "head",
        request: String(headers[REQUEST_HEADER] ?? ""),
        revision: firstValue(headers[REVISION_HEADER]),
        resumeToken: firstValue(headers[RESUME_HEADER]),
      });
      return new ResultAsync(readResponseStream(res.body, options.onEvent));
    });
  }

  #open(
    address: string,
    { path, ...call }: Call,
    sender: Sender,
  ): ResultAsync<Dispatcher.ResponseData, SendError> {
    return ResultAsync.fromPromise(
      this.#http.request(address, path, {
        ...call,
        headers: { ...call.headers, ...senderHeaders(sender) },
        headersTimeout: (sender.deadlineMs ?? DEFAULT_HEADERS_TIMEOUT_MS) +
          DEADLINE_MARGIN_MS,
        bodyTimeout: SILENCE_TIMEOUT_MS,
      }),
      (cause) => brokenConnection(connectionVerdict(cause), String(cause)),
    );
  }

  async #readEntries(address: string): Promise<readonly string[]> {
    const res = await this.#http.request(address, "/v1/entries", {
      method: "GET",
      headersTimeout: SILENCE_TIMEOUT_MS,
      bodyTimeout: SILENCE_TIMEOUT_MS,
    });
    const { entries } = EntriesSchema.parse(await res.body.json());
    return entries.map((entry) => entry.address);
  }
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

/** Returns `not_run` if the connection could not be opened, so that no request was sent. */
function connectionVerdict(cause: unknown): Verdict {
  const code = (cause as { code?: string }).code ?? "";
  const notConnectedCodes = [
    "ECONNREFUSED",
    "EHOSTUNREACH",
    "UND_ERR_CONNECT_TIMEOUT",
  ];
  return notConnectedCodes.includes(code) ? "not_run" : "may_have_run";
}

function firstValue(
  value: string | string[] | undefined,
): string | undefined {
  return typeof value === "string" ? value : value?.[0];
}
