import { until } from "../../lib/fleet.ts";
import { expectSame, expectThat } from "../expect.ts";
import { Lab } from "../lab.ts";
import type { ProcessCase } from "../process_case.ts";
import { createQuestion, expectWhole } from "../question.ts";

const CONFLICT = 3;

/** Configuration that is published while things break. */
export const CONFIGURATION_CASES: readonly ProcessCase[] = [
  {
    name: "configuration applied while the log takes no appends",
    run: () => Lab.run({}, (lab) => applyUnder(lab, { outage: "appends" })),
  },
  {
    name: "configuration applied while the log answers no reads",
    run: () => Lab.run({}, (lab) => applyUnder(lab, { outage: "reads" })),
  },
  {
    name: "configuration applied while append answers are lost",
    run: () => Lab.run({}, applyLostAnswers),
  },
  {
    name: "configuration applied by two operators at once",
    run: () => Lab.run({}, applyTwice),
  },
  {
    name: "daemon started while the log is down",
    run: () => Lab.run({}, startInOutage),
  },
  {
    name: "configuration after its records have expired",
    run: () => Lab.run({}, expireRecords),
  },
];

async function applyUnder(lab: Lab, fault: { outage: string }) {
  const before = await revisions(lab);
  await lab.controlLog(fault);
  const code = await lab.apply("second", ["--timeout", "3"]);
  expectThat(code !== 0, "apply said that all went well during the outage");
  expectSame("revisions during the outage", await revisions(lab), before);
  await lab.controlLog({ outage: "none" });
  expectSame("exit code of the second try", await lab.apply("second"), 0);
  const [revision] = await agreed(lab);
  expectThat(revision! > before[0]!, `revision ${revision} is not newer`);
  return `exit code ${code} meanwhile, revision ${revision} everywhere afterwards`;
}

async function applyLostAnswers(lab: Lab): Promise<string> {
  const before = await revisions(lab);
  await lab.controlLog({ reset_after_append: 2 });
  expectSame("exit code of apply", await lab.apply("second"), 0);
  const [revision] = await agreed(lab);
  expectThat(revision! > before[0]!, `revision ${revision} is not newer`);
  return `revision ${revision} everywhere`;
}

async function applyTwice(lab: Lab): Promise<string> {
  const base = (await revisions(lab))[0]!;
  const names = ["left", "right"];
  const args = ["--base", String(base)];
  const operators = names.map((name) => lab.startApply(name, args));
  const codes = await Promise.all(operators.map((one) => one.exited));
  expectSame("exit codes", [...codes].sort(), [0, CONFLICT]);
  const [revision] = await agreed(lab);
  expectThat(revision! > base, `revision ${revision} is not newer`);
  return `one accepted as revision ${revision}, the other told of the conflict`;
}

async function startInOutage(lab: Lab): Promise<string> {
  const [revision] = await agreed(lab);
  await lab.controlLog({ outage: "both" });
  const fresh = await lab.fleet.addDaemon();
  await until(`${fresh.vm} is ready`, () => lab.isReady(fresh));
  expectSame("revision", (await lab.status(fresh)).revision, revision);
  await lab.settled();
  const question = createQuestion(1_000);
  expectWhole(await lab.ask(fresh.clientAddress, question), question);
  return `revision ${revision} learnt from its peers, and a prompt whole`;
}

async function expireRecords(lab: Lab): Promise<string> {
  expectSame("exit code of apply", await lab.apply("second"), 0);
  const [revision] = await agreed(lab);
  const expire = { stream: "config", below: 1_000_000 };
  await lab.controlLog({ expire });
  const fresh = await lab.fleet.addDaemon();
  await until(`${fresh.vm} is ready`, () => lab.isReady(fresh));
  await lab.settled();
  expectSame("revisions", new Set(await revisions(lab)).size, 1);
  expectSame("revision", (await lab.status(fresh)).revision, revision);
  return `revision ${revision} stays, also on a new daemon`;
}

function revisions(lab: Lab): Promise<number[]> {
  const { daemons } = lab.fleet;
  return Promise.all(
    daemons.map(async (daemon) => (await lab.status(daemon)).revision),
  );
}

/** Waits until all daemons have the same revision. */
async function agreed(lab: Lab): Promise<number[]> {
  let found: number[] = [];
  await until("all daemons have one revision", async () => {
    found = await revisions(lab);
    return new Set(found).size === 1;
  });
  return found;
}
