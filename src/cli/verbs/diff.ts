import { command, positional, string } from "cmd-ts";
import { err, ok, type Result } from "neverthrow";
import { canonicalText } from "../../config/canonical.ts";
import { diffConfig } from "../../config/diff.ts";
import { jsonArg, logArg } from "../args.ts";
import { changeLine } from "../change_line.ts";
import type { CliContext } from "../context.ts";
import { loadFolder, parsePublished } from "../load_folder.ts";
import { readHistory } from "../read_history.ts";
import type { CliError, Report } from "../report.ts";
import type { RunVerb } from "../run_verb.ts";

/** Compares a folder with the configuration in force. */
export async function diff(
  ctx: CliContext,
  dir: string,
): Promise<Result<Report, CliError>> {
  const folder = await loadFolder(dir);
  if (folder.isErr()) return err(folder.error);
  const read = await readHistory(ctx);
  if (read.isErr()) return err(read.error);
  const { state } = read.value;
  const inForce = parsePublished(state.text);
  if (inForce === undefined) {
    const same = state.text === canonicalText(folder.value);
    return ok({
      exit: "ok",
      data: { revision: state.revision, same, changes: null },
      lines: ["no configuration that this tool can read is in force"],
    });
  }
  const changes = diffConfig(inForce, folder.value);
  return ok({
    exit: "ok",
    data: { revision: state.revision, same: changes.length === 0, changes },
    lines: [
      `against revision ${state.revision} by ${state.author}:`,
      ...(changes.length === 0 ? ["no change"] : changes.map(changeLine)),
    ],
  });
}

/** `parsleyfield diff DIR`. */
export function diffCommand(run: RunVerb) {
  return command({
    name: "diff",
    description: "Compare a configuration folder with what is in force.",
    args: {
      dir: positional({
        type: string,
        displayName: "DIR",
        description: "folder of INI files",
      }),
      ...logArg,
      ...jsonArg,
    },
    examples: [{
      description: "See what `apply` would change",
      command: "parsleyfield diff --log http://10.0.0.5:7001 config",
    }],
    handler: (args) => run(args, (ctx) => diff(ctx, args.dir)),
  });
}
