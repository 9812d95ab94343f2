import process from "node:process";
import { command, flag, number, option, run } from "cmd-ts";
import { explore, type Finding } from "./explore.ts";

const app = command({
  name: "faults",
  description:
    "Plays random fault schedules on a few daemons under virtual time and checks what must always hold.",
  args: {
    seed: option({ type: number, long: "seed", defaultValue: () => 1 }),
    runs: option({ type: number, long: "runs", defaultValue: () => 200 }),
    blocks: flag({
      long: "blocks",
      description: "Also prompts that share a block that crashes engines",
    }),
    json: flag({ long: "json" }),
  },
  handler: async ({ seed, runs, blocks, json }) => {
    const finding = await explore({ seed, runs, blocks });
    if (json) console.log(JSON.stringify({ seed, runs, finding }));
    else {console.log(
        finding === undefined ? passed(seed, runs) : show(finding),
      );}
    process.exitCode = finding === undefined ? 0 : 1;
  },
});

function passed(seed: number, runs: number): string {
  return `seed ${seed}: ${runs} passed, 0 failed`;
}

function show(finding: Finding): string {
  const { seed, runs, schedule, violation } = finding;
  return [
    `seed ${seed}: run ${runs} broke ${violation.invariant}: ${violation.detail}`,
    "shortest schedule found:",
    JSON.stringify(schedule),
    "what happened:",
    ...violation.trace,
    `${runs - 1} passed, 1 failed`,
  ].join("\n");
}

await run(app, process.argv.slice(2));
