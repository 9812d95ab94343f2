import { err, ok, type Result } from "neverthrow";
import { addMs, type Millis } from "../core/time.ts";
import { type CliContext, needEntry } from "./context.ts";
import type { Exit } from "./exit_code.ts";
import type {
  PromptToSend,
  ResponseEvent,
  ResumePoint,
  Sender,
  SendError,
} from "./prompt_client.ts";
import { formatResume, ReceivedResponse } from "./received_response.ts";
import { type CliError, cliError, type Report } from "./report.ts";

/** How long to retry resuming a broken stream. */
const RESUME_TIMEOUT_MS: Millis = 60_000;
const RESUME_INTERVAL_MS: Millis = 500;
const UNAVAILABLE = 503;
const BAD_INPUT_STATUSES = [400, 401, 403, 404, 413, 422];

/** What to send: a prompt, or the point where an earlier response is resumed. */
export type SendOptions = Readonly<{
  prompt: PromptToSend | undefined;
  resume: ResumePoint | undefined;
  sender: Sender;
  /** Whether tokens are written as they arrive. */
  streamed: boolean;
}>;

/** Sends a prompt and streams the response; a broken stream is resumed at another daemon. */
export async function sendPrompt(
  ctx: CliContext,
  options: SendOptions,
): Promise<Result<Report, CliError>> {
  const entry = needEntry(ctx);
  if (entry.isErr()) return err(entry.error);
  const response = ReceivedResponse.create(options.resume);
  const call: Call = {
    response,
    addresses: await refreshEntries(ctx, [entry.value]),
    sender: options.sender,
    onEvent: (event) => {
      const text = response.addEvent(event);
      if (options.streamed && text !== "") ctx.write(text);
    },
  };
  const sendFailure = options.prompt === undefined
    ? undefined
    : await sendToAnyDaemon(ctx, call, options.prompt);
  if (response.done === undefined) {
    const failure = await resumeAtAnyDaemon(ctx, call, sendFailure);
    if (failure !== undefined) return err(toCliError(failure, response));
  }
  return createReport(response, options);
}

type Call = Readonly<{
  response: ReceivedResponse;
  addresses: readonly string[];
  sender: Sender;
  onEvent: (event: ResponseEvent) => void;
}>;

/** Tries the addresses in order while the prompt has certainly not run; returns the error that prevented a response. */
async function sendToAnyDaemon(
  ctx: CliContext,
  { addresses, sender, onEvent }: Call,
  prompt: PromptToSend,
): Promise<SendError | undefined> {
  let last: SendError | undefined;
  for (const address of addresses) {
    const sent = await ctx.prompts.send(address, prompt, { sender, onEvent });
    if (sent.isOk()) return undefined;
    last = sent.error;
    if (last.status !== 0 || last.verdict !== "not_run") return last;
  }
  return last;
}

/** Resumes at the daemons in turn while the error allows it; returns the error that prevented a complete response. */
async function resumeAtAnyDaemon(
  ctx: CliContext,
  call: Call,
  sendFailure: SendError | undefined,
): Promise<SendError | undefined> {
  const deadline = addMs(ctx.now(), RESUME_TIMEOUT_MS);
  let { addresses } = call;
  let lastError = sendFailure;
  for (
    let attempts = 0;
    lastError === undefined || canResume(lastError);
    attempts += 1
  ) {
    const point = call.response.resumePoint;
    if (point === undefined) break;
    if (lastError !== undefined) {
      if (ctx.now() >= deadline) break;
      ctx.progress(
        `resuming after event ${point.lastEventId}: ${lastError.detail}`,
      );
      await ctx.sleep(RESUME_INTERVAL_MS);
      addresses = await refreshEntries(ctx, addresses);
    }
    const address = addresses[attempts % addresses.length] ?? "";
    const { sender, onEvent } = call;
    call.response.resumed += 1;
    const result = await ctx.prompts.resume(address, point, {
      sender,
      onEvent,
    });
    if (result.isOk()) return undefined;
    lastError = result.error;
  }
  return lastError ?? nothingToSendError();
}

/** After a broken connection the response may still be running, and after a 503 another daemon may have capacity. */
function canResume({ status }: SendError): boolean {
  return status === 0 || status === UNAVAILABLE;
}

async function refreshEntries(
  ctx: CliContext,
  known: readonly string[],
): Promise<readonly string[]> {
  for (const address of known) {
    const entries = await ctx.prompts.entries(address);
    if (entries.isOk()) return [...new Set([...entries.value, ...known])];
  }
  return known;
}

function createReport(
  response: ReceivedResponse,
  options: SendOptions,
): Result<Report, CliError> {
  const { request, revision, resumed, text, done, nextIndex: next } = response;
  if (done === undefined || !response.isComplete) {
    const expected = done?.count ?? "an unknown number of";
    return err(
      toCliError({
        code: "answer_broken",
        status: 0,
        verdict: "may_have_run",
        detail: `${next} of ${expected} events came`,
      }, response),
    );
  }
  const { count, finish, promptTokens } = done;
  return ok({
    exit: "ok",
    data: { request, revision, text, count, finish, promptTokens, resumed },
    lines: [options.streamed ? "" : text],
  });
}

function toCliError(cause: SendError, response: ReceivedResponse): CliError {
  const point = response.resumePoint;
  const hint = point === undefined
    ? ""
    : `; go on with --resume ${formatResume(point)}`;
  return cliError(
    cause.code,
    `${cause.detail} (${cause.verdict})${hint}`,
    exitFor(cause),
  );
}

function exitFor({ status, verdict }: SendError): Exclude<Exit, "ok"> {
  if (BAD_INPUT_STATUSES.includes(status)) return "bad_input";
  return verdict === "not_run" ? "failure" : "unknown";
}

function nothingToSendError(): SendError {
  return {
    code: "bad_request",
    status: 400,
    verdict: "not_run",
    detail: "There is neither a prompt nor a point to resume from.",
  };
}
