import process from "node:process";
import {
  binary,
  command,
  flag,
  number,
  oneOf,
  option,
  optional,
  run,
  string,
} from "cmd-ts";
import { POLICY_NAMES } from "./fleet.ts";
import { writeReport } from "./report.ts";
import { measure } from "./run.ts";
import { SCENARIO_NAMES } from "./scenario.ts";
import { textOf } from "./text.ts";

const app = command({
  name: "measure",
  description: "Measures a placement policy under virtual time.",
  args: {
    scenario: option({
      type: oneOf(SCENARIO_NAMES),
      long: "scenario",
      description: "cooperative, faro or size",
      defaultValue: () => "cooperative" as const,
    }),
    policy: option({
      type: oneOf(POLICY_NAMES),
      long: "policy",
      description: "parsleyfield or naive",
      defaultValue: () => "parsleyfield" as const,
    }),
    load: option({
      type: number,
      long: "load",
      description: "offered rate over capacity, outside swings",
      defaultValue: () => 0.7,
    }),
    seed: option({ type: number, long: "seed", defaultValue: () => 1 }),
    minutes: option({
      type: number,
      long: "minutes",
      description: "length of the measured window",
      defaultValue: () => 10,
    }),
    faults: option({
      type: oneOf(["on", "off"]),
      long: "faults",
      defaultValue: () => "off" as const,
    }),
    json: flag({ long: "json", description: "print one JSON object" }),
    report: option({
      type: optional(string),
      long: "report",
      description: "folder for an HTML page with plots",
    }),
  },
  handler: (args) => {
    const result = measure({ ...args, faults: args.faults === "on" });
    if (args.report !== undefined) writeReport(args.report, result);
    const text = args.json
      ? JSON.stringify(result.summary)
      : textOf(result.summary);
    process.stdout.write(`${text}\n`);
  },
});

await run(binary(app), process.argv);
