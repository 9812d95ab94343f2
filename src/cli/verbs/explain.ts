import { command, option, positional, string } from "cmd-ts";
import { readdir, readFile } from "node:fs/promises";
import { join } from "node:path";
import { err, ok, type Result } from "neverthrow";
import { jsonArg } from "../args.ts";
import { type CliError, cliError, type Report } from "../report.ts";
import { describeCause, type LogLine, traceRequest } from "../request_trace.ts";
import type { RunVerb } from "../run_verb.ts";

/** Reports the log lines of one request and the cause of its outcome from the logs in a folder. */
export async function explain(
  req: string,
  dir: string,
): Promise<Result<Report, CliError>> {
  const texts = await readLogs(dir);
  if (texts.isErr()) return err(texts.error);
  const story = traceRequest(req, texts.value);
  if (story === undefined) {
    return err(cliError(
      "unknown_request",
      `No line in ${dir} names request ${req}. Are the logs of all daemons there?`,
    ));
  }
  const cause = describeCause(story);
  const notes = [
    ...Object.entries(story.leftOut).map(([kind, count]) =>
      `${count} lines of kind ${kind} were left out of the logs during the request`
    ),
    ...(story.torn > 0 ? [`${story.torn} lines can't be read`] : []),
  ];
  return ok({
    exit: "ok",
    data: { ...story, cause },
    lines: [
      `request ${req}: ${cause}`,
      ...story.lines.map(formatLine),
      ...(story.around.length > 0 ? ["meanwhile:"] : []),
      ...story.around.map(formatLine),
      ...notes,
    ],
  });
}

async function readLogs(
  dir: string,
): Promise<Result<readonly string[], CliError>> {
  try {
    const names = (await readdir(dir)).sort();
    const texts = await Promise.all(
      names.map((name) => readFile(join(dir, name), "utf8")),
    );
    if (texts.length > 0) return ok(texts);
    return err(
      cliError("no_logs", `There are no files in ${dir}`, "bad_input"),
    );
  } catch (cause) {
    const detail = cause instanceof Error ? cause.message : String(cause);
    return err(cliError("unreadable_logs", detail, "bad_input"));
  }
}

function formatLine(line: LogLine): string {
  const { at, kind, vm, req: _req, ...fields } = line;
  const rest = Object.entries(fields).map(([name, value]) =>
    `${name}=${value}`
  );
  return `  ${at.slice(11, 23)} ${vm} ${kind} ${rest.join(" ")}`;
}

/** `parsleyfield explain REQUEST_ID --logs DIR`. */
export function explainCommand(run: RunVerb) {
  return command({
    name: "explain",
    description:
      "Tell from the daemons' logs what became of a request, and why.",
    args: {
      req: positional({
        type: string,
        displayName: "REQUEST_ID",
        description: "the id that the client sent",
      }),
      logs: option({
        type: string,
        long: "logs",
        description: "folder with the logs of the daemons, a file each",
      }),
      ...jsonArg,
    },
    examples: [
      {
        description: "Explain a failed request",
        command: "parsleyfield explain 9c41d07be2a35f68 --logs logs",
      },
    ],
    handler: (args) => run(args, () => explain(args.req, args.logs)),
  });
}
