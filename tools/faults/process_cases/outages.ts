import type { DaemonProgram } from "../../lib/fleet.ts";
import { expectSame } from "../expect.ts";
import { Lab } from "../lab.ts";
import type { ProcessCase } from "../process_case.ts";
import { createQuestion, expectWhole } from "../question.ts";

const LOG_FAULTS = [
  { outage: "appends" },
  { outage: "reads" },
  { outage: "both" },
  { outage: "none", hang: "both" },
  { hang: "none", malformed: "both" },
];
const LIST_FAULTS = [
  { outage: true },
  { outage: false, hang: true },
  { hang: false, malformed: true },
];

/** The platform is down, hangs, or answers nonsense. */
export const OUTAGE_CASES: readonly ProcessCase[] = [
  {
    name: "prompts while the log is down",
    run: () => Lab.run({}, logOutage),
  },
  {
    name: "prompts and a lost engine while the VM list is down",
    run: () => Lab.run({ engines: 3 }, vmListOutage),
  },
];

async function logOutage(lab: Lab): Promise<string> {
  for (const fault of LOG_FAULTS) {
    await lab.controlLog(fault);
    await askEverywhere(lab);
  }
  await lab.controlLog({ malformed: "none" });
  expectSame("exit code of apply", await lab.apply("second"), 0);
  return `${LOG_FAULTS.length} faults, prompts whole on each daemon, configuration published afterwards`;
}

async function vmListOutage(lab: Lab): Promise<string> {
  for (const fault of LIST_FAULTS) {
    await lab.controlVmList(fault);
    await askEverywhere(lab);
  }
  const [engine] = lab.fleet.engines;
  await engine!.program.kill();
  await askEverywhere(lab);
  await lab.controlVmList({ malformed: false });
  const added = await lab.fleet.addEngine();
  await lab.seen(added.vm, "live");
  return `${LIST_FAULTS.length} faults, prompts whole on each daemon, a new engine known afterwards`;
}

async function askEverywhere(lab: Lab): Promise<void> {
  const asked = lab.fleet.daemons.map((daemon) => askAt(lab, daemon));
  await Promise.all(asked);
}

async function askAt(lab: Lab, daemon: DaemonProgram): Promise<void> {
  const question = createQuestion(1_000, { answerTokens: 20 });
  expectWhole(await lab.ask(daemon.clientAddress, question), question);
}
