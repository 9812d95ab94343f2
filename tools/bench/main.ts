import process from "node:process";
import { command, flag, option, optional, runSafely, string } from "cmd-ts";
import { bench } from "./bench.ts";

const app = command({
  name: "bench",
  description: "Measures what one daemon adds to calls of a token source.",
  args: {
    json: flag({ long: "json", description: "print one JSON object" }),
    against: option({
      type: optional(string),
      long: "against",
      description: "folder of another build whose daemon is measured too",
    }),
  },
  handler: async ({ json, against }) => {
    const now = await bench({});
    const report = against === undefined
      ? { now }
      : { now, against: await bench({ dist: against }) };
    console.log(JSON.stringify(report, undefined, json ? 0 : 2));
  },
});

const result = await runSafely(app, process.argv.slice(2));
if (result._tag === "error") result.error.run();
