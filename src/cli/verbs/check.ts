import { command, positional, string } from "cmd-ts";
import type { Result } from "neverthrow";
import { configDigest } from "../../config/canonical.ts";
import { jsonArg } from "../args.ts";
import { loadFolder } from "../load_folder.ts";
import type { CliError, Report } from "../report.ts";
import type { RunVerb } from "../run_verb.ts";

/** Validates a configuration folder; needs neither a daemon nor the log service. */
export async function check(dir: string): Promise<Result<Report, CliError>> {
  const folder = await loadFolder(dir);
  return folder.map((config) => {
    const counts = {
      models: config.models.length,
      groups: config.groups.length,
      services: config.services.length,
      teams: config.teams.length,
      classes: config.classes.length,
    };
    const digest = configDigest(config);
    const list = Object.entries(counts).map(([name, count]) =>
      `${name}: ${count}`
    );
    return {
      exit: "ok",
      data: { ok: true, digest, ...counts },
      lines: [`${dir} is valid`, ...list, `digest ${digest}`],
    };
  });
}

/** `parsleyfield check DIR`. */
export function checkCommand(run: RunVerb) {
  return command({
    name: "check",
    description: "Check a configuration folder and report all its errors.",
    args: {
      dir: positional({
        type: string,
        displayName: "DIR",
        description: "folder of INI files",
      }),
      ...jsonArg,
    },
    examples: [
      {
        description: "Check an example",
        command: "parsleyfield check examples/cooperative",
      },
      {
        description: "Get all errors as data",
        command: "parsleyfield check --json config",
      },
    ],
    handler: (args) => run(args, () => check(args.dir)),
  });
}
