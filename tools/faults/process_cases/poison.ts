import { expectSame, expectThat } from "../expect.ts";
import { Lab } from "../lab.ts";
import type { ProcessCase } from "../process_case.ts";
import { createQuestion, expectWhole } from "../question.ts";

const MARKER = "poison-3f1c";
const MAX_LOST = 2;

/** A request that crashes each engine that runs it. */
export const POISON_CASES: readonly ProcessCase[] = [
  {
    name: "poison prompt sent again by the same daemon and by others",
    run: () => Lab.run({ engines: 5, timeScale: 0.25 }, sendPoison),
  },
];

async function sendPoison(lab: Lab): Promise<string> {
  const { daemons, engines } = lab.fleet;
  for (const engine of engines) {
    await lab.control(`http://${engine.address}`, { poison: MARKER });
  }
  const neighbours = daemons.flatMap((daemon) =>
    Array.from({ length: 4 }, async () => {
      const question = createQuestion(1_000, { answerTokens: 200 });
      expectWhole(await lab.ask(daemon.clientAddress, question), question);
    })
  );
  const healthy = Promise.allSettled(neighbours);
  const poison = createQuestion(1_000, { marker: MARKER });
  const codes: string[] = [];
  for (const daemon of [daemons[0]!, ...daemons, ...daemons]) {
    const { status, problem } = await lab.ask(daemon.clientAddress, poison);
    expectThat(status !== 200, "the poison prompt was answered");
    codes.push(JSON.parse(problem ?? "{}").code);
  }
  const refused = (await healthy).filter((one) => one.status === "rejected");
  expectSame(
    "neighbours that failed",
    refused.map((one) => String(one.reason)),
    [],
  );
  const gone = engines.filter((engine) => engine.program.hasExited);
  expectThat(gone.length <= MAX_LOST, `${gone.length} engines were lost`);
  expectSame("answer in the end", codes.at(-1), "quarantined");
  return `${gone.length} engines lost in ${codes.length} tries, ${neighbours.length} neighbours whole`;
}
