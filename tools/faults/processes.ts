import process from "node:process";
import { array, command, multioption, runSafely, string } from "cmd-ts";
import type { ProcessCase } from "./process_case.ts";
import { CALL_CASES } from "./process_cases/calls.ts";
import { CONFIGURATION_CASES } from "./process_cases/configuration.ts";
import { DAEMON_CASES } from "./process_cases/daemons.ts";
import { ENGINE_CASES } from "./process_cases/engines.ts";
import { HALF_OPEN_CASES } from "./process_cases/half_open.ts";
import { OUTAGE_CASES } from "./process_cases/outages.ts";
import { POISON_CASES } from "./process_cases/poison.ts";
import { ROLLING_CASES } from "./process_cases/rolling.ts";

const CASES: readonly ProcessCase[] = [
  ...DAEMON_CASES,
  ...ENGINE_CASES,
  ...HALF_OPEN_CASES,
  ...OUTAGE_CASES,
  ...CONFIGURATION_CASES,
  ...POISON_CASES,
  ...CALL_CASES,
  ...ROLLING_CASES,
];

const app = command({
  name: "faults:processes",
  description: "Runs the fault table with real processes on loopback.",
  args: {
    only: multioption({
      type: array(string),
      long: "case",
      description: "Runs the cases whose names contain this text.",
    }),
  },
  handler: ({ only }) => runAll(only),
});

/** Runs one case after the other; resolves with whether all of them held. */
async function runAll(only: readonly string[]): Promise<boolean> {
  const chosen = CASES.filter(({ name }) =>
    only.length === 0 || only.some((text) => name.includes(text))
  );
  let failed = 0;
  for (const one of chosen) {
    if (!await runOne(one)) failed += 1;
  }
  console.log(`${chosen.length - failed} passed, ${failed} failed`);
  return failed === 0 && chosen.length > 0;
}

async function runOne({ name, run }: ProcessCase): Promise<boolean> {
  try {
    console.log(`ok      ${name}: ${await run()}`);
    return true;
  } catch (err) {
    console.log(`failed  ${name}: ${(err as Error).message}`);
    return false;
  }
}

const result = await runSafely(app, process.argv.slice(2));
if (result._tag === "error") result.error.run();
else process.exitCode = await result.value ? 0 : 1;
