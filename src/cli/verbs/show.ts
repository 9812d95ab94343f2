import { command, number, optional, positional } from "cmd-ts";
import { err, ok, type Result } from "neverthrow";
import type { Revision } from "../../core/id.ts";
import { jsonArg, logArg } from "../args.ts";
import type { CliContext } from "../context.ts";
import { type History, readHistory } from "../read_history.ts";
import { type CliError, cliError, type Report } from "../report.ts";
import type { RunVerb } from "../run_verb.ts";

type PublishedConfig = Readonly<
  { revision: Revision; author: string; at: number; text: string }
>;

/** Shows the configuration of a revision, or the one in force. */
export async function show(
  ctx: CliContext,
  revision: number | undefined,
): Promise<Result<Report, CliError>> {
  const read = await readHistory(ctx);
  if (read.isErr()) return err(read.error);
  const selected = revision ?? read.value.state.revision;
  const found = findRevision(read.value, selected);
  if (found === undefined) {
    const detail = selected < 0
      ? "No configuration has been published."
      : `The log has no accepted change at ${selected}; its records begin at ${read.value.history.startOffset}.`;
    return err(cliError("no_such_revision", detail, "bad_input"));
  }
  const { text, author, at } = found;
  const config: unknown = JSON.parse(text);
  const published = new Date(at).toISOString();
  return ok({
    exit: "ok",
    data: { revision: selected, author, at: published, config },
    lines: [
      `revision ${selected} by ${author} at ${published}`,
      ...JSON.stringify(config, null, 2).split("\n"),
    ],
  });
}

function findRevision(
  { state, history }: History,
  revision: number,
): PublishedConfig | undefined {
  if (revision < 0) return undefined;
  if (state.revision === revision) return state;
  const decision = history.history.find(({ offset, accepted }) =>
    accepted && offset === revision
  );
  if (decision === undefined) return undefined;
  const { author, at, text } = decision.change;
  return { revision: revision as Revision, author, at, text };
}

/** `parsleyfield show [REVISION]`. */
export function showCommand(run: RunVerb) {
  return command({
    name: "show",
    description:
      "Show the configuration in force, or that of an earlier revision.",
    args: {
      revision: positional({
        type: optional(number),
        displayName: "REVISION",
        description: "an accepted revision; else the one in force",
      }),
      ...logArg,
      ...jsonArg,
    },
    examples: [
      { description: "What is in force", command: "parsleyfield show" },
      { description: "What was", command: "parsleyfield show 41 --json" },
    ],
    handler: (args) => run(args, (ctx) => show(ctx, args.revision)),
  });
}
