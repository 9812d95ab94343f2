import { command, number, option, optional, positional, string } from "cmd-ts";
import { err, ok, type Result } from "neverthrow";
import { entryArg, jsonArg } from "../args.ts";
import type { CliContext } from "../context.ts";
import type { PromptToSend, ResumePoint } from "../prompt_client.ts";
import { readPrompt } from "../read_prompt.ts";
import { parseResume } from "../received_response.ts";
import { type CliError, cliError, type Report } from "../report.ts";
import type { RunVerb } from "../run_verb.ts";
import { sendPrompt } from "../send_prompt.ts";

const DEFAULT_MAX_TOKENS = 1_024;

/** Arguments of `send`; `deadline` in ms. */
export type SendArgs = Readonly<{
  file?: string;
  model?: string;
  adapter?: string;
  modelVersion?: string;
  maxTokens: number;
  resume?: string;
  team?: string;
  token?: string;
  class?: string;
  deadline?: number;
  json: boolean;
}>;

/** Sends a prompt from a file or standard input, or resumes an earlier response. */
export async function send(
  ctx: CliContext,
  args: SendArgs,
): Promise<Result<Report, CliError>> {
  const resume = parseResumeArg(args);
  if (resume.isErr()) return err(resume.error);
  const prompt = resume.value === undefined
    ? await loadPrompt(args)
    : ok(undefined);
  if (prompt.isErr()) return err(prompt.error);
  const { team, token, deadline } = args;
  return sendPrompt(ctx, {
    prompt: prompt.value,
    resume: resume.value,
    sender: { team, token, class: args.class, deadlineMs: deadline },
    streamed: !args.json,
  });
}

function parseResumeArg(
  { resume }: SendArgs,
): Result<ResumePoint | undefined, CliError> {
  if (resume === undefined) return ok(undefined);
  const point = parseResume(resume);
  if (point !== undefined) return ok(point);
  return err(
    cliError(
      "bad_resume",
      "--resume must have the form REQUEST:EVENT:TOKEN.",
      "bad_input",
    ),
  );
}

async function loadPrompt(
  args: SendArgs,
): Promise<Result<PromptToSend | undefined, CliError>> {
  const { model, adapter, modelVersion, maxTokens } = args;
  if (model === undefined) {
    return err(cliError("no_model", "Name a model with --model.", "bad_input"));
  }
  const text = await readPrompt(args.file);
  return text.map((text) => ({
    model,
    adapter,
    version: modelVersion,
    maxTokens,
    text,
  }));
}

/** `parsleyfield send [FILE]`. */
export function sendCommand(run: RunVerb) {
  return command({
    name: "send",
    description:
      "Send a prompt from a file or standard input and write the answer as it comes. A broken stream is resumed at another daemon.",
    args: {
      file: positional({
        type: optional(string),
        displayName: "FILE",
        description: "file with the prompt; else standard input",
      }),
      model: option({
        long: "model",
        type: optional(string),
        description: "model to run on",
      }),
      adapter: option({
        long: "adapter",
        type: optional(string),
        description: "adapter of the model",
      }),
      modelVersion: option({
        long: "model-version",
        type: optional(string),
        description: "version of the model; else the configured one",
      }),
      maxTokens: option({
        long: "max-tokens",
        type: number,
        defaultValue: () => DEFAULT_MAX_TOKENS,
        defaultValueIsSerializable: true,
        description: "longest answer",
      }),
      team: option({
        long: "team",
        env: "PARSLEYFIELD_TEAM",
        type: optional(string),
        description: "team that sends, if it needs no token",
      }),
      token: option({
        long: "token",
        env: "PARSLEYFIELD_TOKEN",
        type: optional(string),
        description: "bearer token of the team; better in the environment",
      }),
      class: option({
        long: "class",
        type: optional(string),
        description: "request class; else the most urgent",
      }),
      deadline: option({
        long: "deadline-ms",
        type: optional(number),
        description: "milliseconds until the answer must be whole",
      }),
      resume: option({
        long: "resume",
        type: optional(string),
        description: "go on with an answer: REQUEST:EVENT:TOKEN",
      }),
      ...entryArg,
      ...jsonArg,
    },
    examples: [
      {
        description: "Ask a short question",
        command:
          "echo 'Which wire for a heavy peg?' | parsleyfield send --model assistant --team makers-damietta",
      },
      {
        description: "Have a ledger reviewed",
        command:
          "parsleyfield send --model assistant --team bookkeeping --class ledger-review ledger.txt",
      },
    ],
    handler: (args) => run(args, (ctx) => send(ctx, args)),
  });
}
