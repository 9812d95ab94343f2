import { command, number, option } from "cmd-ts";
import type { Result } from "neverthrow";
import { jsonArg, logArg } from "../args.ts";
import type { CliContext } from "../context.ts";
import { readHistory } from "../read_history.ts";
import type { CliError, Report } from "../report.ts";
import type { RunVerb } from "../run_verb.ts";
import { tableLines } from "../table.ts";

const DEFAULT_LIMIT = 20;
const COLUMNS = ["REVISION", "RESULT", "BASE", "AT", "AUTHOR", "CHANGE"];

/** Lists the changes that the log still holds, newest first. */
export async function history(
  ctx: CliContext,
  options: { limit: number },
): Promise<Result<Report, CliError>> {
  const read = await readHistory(ctx);
  return read.map(({ history, state }) => {
    const changes = history.history.toReversed().slice(0, options.limit).map((
      { offset, accepted, state, change },
    ) => ({
      offset,
      result: accepted ? "accepted" : "conflict",
      base: change.base,
      /** Revision in force after this change was decided. */
      in_force: state.revision,
      at: new Date(change.at).toISOString(),
      author: change.author,
      change: change.change,
    }));
    const rows = changes.map((item) => [
      item.result === "accepted" ? String(item.offset) : "-",
      item.result,
      String(item.base),
      item.at,
      item.author,
      item.change,
    ]);
    const data = {
      revision: state.revision,
      first_offset: history.startOffset,
      changes,
    };
    return { exit: "ok", data, lines: tableLines([COLUMNS, ...rows]) };
  });
}

/** `parsleyfield history`. */
export function historyCommand(run: RunVerb) {
  return command({
    name: "history",
    description:
      "List the published changes that the log still has, newest first: accepted ones and those that lost.",
    args: {
      limit: option({
        long: "limit",
        type: number,
        defaultValue: () => DEFAULT_LIMIT,
        defaultValueIsSerializable: true,
        description: "changes to list",
      }),
      ...logArg,
      ...jsonArg,
    },
    examples: [{
      description: "Who changed what lately",
      command: "parsleyfield history --limit 5",
    }],
    handler: (args) => run(args, (ctx) => history(ctx, args)),
  });
}
