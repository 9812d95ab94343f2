import { type DaemonProgram, request, until } from "../../lib/fleet.ts";
import { expectThat } from "../expect.ts";
import { Lab } from "../lab.ts";
import type { ProcessCase } from "../process_case.ts";
import { createQuestion, expectWhole } from "../question.ts";

const BOUNDARIES = [1, 2, 17, 59];

/** Daemons that are killed, or frozen and thawed. */
export const DAEMON_CASES: readonly ProcessCase[] = [
  {
    name: "daemon killed under a stream, resumed elsewhere",
    run: () =>
      Lab.run(
        { daemons: BOUNDARIES.length + 1, timeScale: 0.25 },
        killAtBoundaries,
      ),
  },
  {
    name: "daemon killed before the first token",
    run: () => Lab.run({ timeScale: 0.5 }, killBeforeFirstToken),
  },
  {
    name: "daemon frozen and thawed, each in turn",
    run: () => Lab.run({}, freezeInTurn),
  },
];

async function killAtBoundaries(lab: Lab): Promise<string> {
  const survivor = lab.fleet.daemons.at(-1)!;
  const results = BOUNDARIES.map((boundary, index) =>
    killAt(lab, lab.fleet.daemons[index]!, { boundary, survivor })
  );
  return `whole after events ${(await Promise.all(results)).join(", ")}`;
}

async function killAt(
  lab: Lab,
  daemon: DaemonProgram,
  options: { boundary: number; survivor: DaemonProgram },
): Promise<number> {
  const { boundary, survivor } = options;
  const question = createQuestion(1_000);
  const broken = await lab.ask(daemon.clientAddress, question, {
    onToken: ({ lastEvent }) => {
      if (lastEvent === boundary) daemon.program.signal("SIGKILL");
      return true;
    },
  });
  expectThat(
    broken.count === undefined,
    "the stream ended before its daemon was killed",
  );
  const rest = await lab.resume(survivor.clientAddress, broken);
  expectWhole(rest, question, broken.lastEvent);
  return broken.lastEvent;
}

async function killBeforeFirstToken(lab: Lab): Promise<string> {
  const [daemon, other] = lab.fleet.daemons;
  const question = createQuestion(30_000);
  const broken = lab.ask(daemon!.clientAddress, question);
  const engine = await lab.busyEngine();
  await daemon!.program.kill();
  const { status, lastEvent } = await broken;
  expectThat(
    status === 0 && lastEvent === 0,
    `the client got status ${status} and ${lastEvent} tokens`,
  );
  expectWhole(await lab.ask(other!.clientAddress, question), question);
  await until(
    `${engine.vm} has dropped the answer that nobody reads`,
    async () => await lab.running(engine) === 0,
  );
  return "whole on a second try, and nothing is left running";
}

async function freezeInTurn(lab: Lab): Promise<string> {
  const { daemons } = lab.fleet;
  for (const frozen of daemons) {
    frozen.program.signal("SIGSTOP");
    const others = daemons.filter((one) => one !== frozen);
    await Promise.all(others.map((one) => askAt(lab, one)));
    for (const one of others) {
      await until(
        `${one.vm} no longer gives ${frozen.vm} out`,
        async () => !(await entries(one)).includes(frozen.clientAddress),
      );
    }
    frozen.program.signal("SIGCONT");
    for (const one of others) {
      await until(
        `${one.vm} gives ${frozen.vm} out again`,
        async () => (await entries(one)).includes(frozen.clientAddress),
      );
    }
    await askAt(lab, frozen);
  }
  return `${daemons.length} daemons, the others answered meanwhile`;
}

async function askAt(lab: Lab, daemon: DaemonProgram): Promise<void> {
  const question = createQuestion(1_000);
  expectWhole(await lab.ask(daemon.clientAddress, question), question);
}

async function entries(daemon: DaemonProgram): Promise<readonly string[]> {
  const res = await request(`http://${daemon.clientAddress}/v1/entries`);
  const { entries } = res.body as { entries: { address: string }[] };
  return entries.map((entry) => entry.address);
}
