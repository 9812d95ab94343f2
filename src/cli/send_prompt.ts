import { err, ok, type Result } from "neverthrow";
import { addMs, type Millis } from "../core/time.ts";
import { type CliContext, needEntry } from "./context.ts";
import type { Exit } from "./exit_code.ts";
import type {
  AnswerEvent,
  PromptToSend,
  ResumePoint,
  Sender,
  SendError,
} from "./prompt_client.ts";
import { formatResume, ReceivedAnswer } from "./received_answer.ts";
import { type CliError, cliError, type Report } from "./report.ts";

/** Time in which a broken stream is taken up again. */
const RESUME_MS: Millis = 60_000;
const RESUME_PAUSE_MS: Millis = 500;
const UNAVAILABLE = 503;
const BAD_INPUT_STATUSES = [400, 401, 403, 404, 413, 422];

/** What is sent: a prompt, or where an earlier answer is taken up. */
export type SendOptions = Readonly<{
  prompt: PromptToSend | undefined;
  resume: ResumePoint | undefined;
  sender: Sender;
  /** Whether tokens are written as they come. */
  streamed: boolean;
}>;

/** Sends a prompt and streams the answer; a broken stream is resumed at another daemon. */
export async function sendPrompt(
  ctx: CliContext,
  options: SendOptions,
): Promise<Result<Report, CliError>> {
  const entry = needEntry(ctx);
  if (entry.isErr()) return err(entry.error);
  const answer = ReceivedAnswer.create(options.resume);
  const call: Call = {
    answer,
    addresses: await refreshEntries(ctx, [entry.value]),
    sender: options.sender,
    onEvent: (event) => {
      const text = answer.take(event);
      if (options.streamed && text !== "") ctx.write(text);
    },
  };
  const broken = options.prompt === undefined
    ? undefined
    : await sendAnywhere(ctx, call, options.prompt);
  if (answer.done === undefined) {
    const failed = await resumeAnywhere(ctx, call, broken);
    if (failed !== undefined) return err(sendError(failed, answer));
  }
  return report(answer, options);
}

type Call = Readonly<{
  answer: ReceivedAnswer;
  addresses: readonly string[];
  sender: Sender;
  onEvent: (event: AnswerEvent) => void;
}>;

/** Tries each address while nothing can have run; returns why there is no whole answer. */
async function sendAnywhere(
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

/** Goes on at any daemon while that may help; returns why there is no whole answer. */
async function resumeAnywhere(
  ctx: CliContext,
  call: Call,
  broken: SendError | undefined,
): Promise<SendError | undefined> {
  const giveUpAt = addMs(ctx.now(), RESUME_MS);
  let { addresses } = call;
  let last = broken;
  for (let tries = 0; last === undefined || mayResume(last); tries += 1) {
    const point = call.answer.resumePoint;
    if (point === undefined) break;
    if (last !== undefined) {
      if (ctx.now() >= giveUpAt) break;
      ctx.progress(`resuming after event ${point.after}: ${last.detail}`);
      await ctx.sleep(RESUME_PAUSE_MS);
      addresses = await refreshEntries(ctx, addresses);
    }
    const address = addresses[tries % addresses.length] ?? "";
    const { sender, onEvent } = call;
    call.answer.resumed += 1;
    const result = await ctx.prompts.resume(address, point, {
      sender,
      onEvent,
    });
    if (result.isOk()) return undefined;
    last = result.error;
  }
  return last ?? nothingToSend();
}

/** A broken connection says nothing about the answer, and another daemon may have room. */
function mayResume({ status }: SendError): boolean {
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

function report(
  answer: ReceivedAnswer,
  options: SendOptions,
): Result<Report, CliError> {
  const { request, revision, resumed, text, done, next } = answer;
  if (done === undefined || !answer.whole) {
    const expected = done?.count ?? "an unknown number of";
    return err(
      sendError({
        code: "answer_broken",
        status: 0,
        verdict: "may_have_run",
        detail: `${next} of ${expected} events came`,
      }, answer),
    );
  }
  const { count, finish, promptTokens } = done;
  return ok({
    exit: "ok",
    data: { request, revision, text, count, finish, promptTokens, resumed },
    lines: [options.streamed ? "" : text],
  });
}

function sendError(cause: SendError, answer: ReceivedAnswer): CliError {
  const point = answer.resumePoint;
  const hint = point === undefined
    ? ""
    : `; go on with --resume ${formatResume(point)}`;
  return cliError(
    cause.code,
    `${cause.detail} (${cause.verdict})${hint}`,
    exitOf(cause),
  );
}

function exitOf({ status, verdict }: SendError): Exclude<Exit, "ok"> {
  if (BAD_INPUT_STATUSES.includes(status)) return "bad_input";
  return verdict === "not_run" ? "failure" : "unknown";
}

function nothingToSend(): SendError {
  return {
    code: "bad_request",
    status: 400,
    verdict: "not_run",
    detail: "There is neither a prompt nor a place to go on from.",
  };
}
