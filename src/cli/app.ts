import { subcommands } from "cmd-ts";
import { installHelp } from "./help.ts";
import type { RunVerb } from "./run_verb.ts";
import { applyCommand } from "./verbs/apply.ts";
import { checkCommand } from "./verbs/check.ts";
import { checkServingCommand, decodeOwnForm } from "./verbs/check_serving.ts";
import { diffCommand } from "./verbs/diff.ts";
import { drainCommand } from "./verbs/drain.ts";
import { explainCommand } from "./verbs/explain.ts";
import { historyCommand } from "./verbs/history.ts";
import { recordCommand } from "./verbs/record.ts";
import { sendCommand } from "./verbs/send.ts";
import { showCommand } from "./verbs/show.ts";
import { statusCommand } from "./verbs/status.ts";

/** Builds all verbs, by name. */
export function createVerbs(run: RunVerb) {
  return {
    check: checkCommand(run),
    diff: diffCommand(run),
    apply: applyCommand(run),
    history: historyCommand(run),
    show: showCommand(run),
    status: statusCommand(run),
    drain: drainCommand(run),
    send: sendCommand(run),
    record: recordCommand(run),
    explain: explainCommand(run),
    "check-serving": checkServingCommand(run, decodeOwnForm),
  };
}

/** Builds the command line of `parsleyfield`. */
export function createApp(run: RunVerb) {
  installHelp();
  return subcommands({
    name: "parsleyfield",
    description:
      "Operate a fleet of parsleyfield daemons. PARSLEYFIELD_LOG and PARSLEYFIELD_ENTRY stand for --log and --entry.",
    cmds: createVerbs(run),
    examples: [
      {
        description: "Check a folder before publishing it",
        command: "parsleyfield check examples/cooperative",
      },
      {
        description: "Publish it",
        command:
          "parsleyfield apply --log http://10.0.0.5:7001 --entry 10.0.0.11:8080 examples/cooperative",
      },
    ],
  });
}
