import type { UpstreamProgram } from "../../lib/fleet.ts";
import { until } from "../../lib/fleet.ts";
import { expectSame, expectThat } from "../expect.ts";
import { Lab } from "../lab.ts";
import type { ProcessCase } from "../process_case.ts";
import { createQuestion, expectWhole } from "../question.ts";

const TOKENS_BEFORE_FAULT = 10;

/** Engines that are killed, frozen or leaving. */
export const ENGINE_CASES: readonly ProcessCase[] = [
  {
    name: "engine killed mid-prefill",
    run: () =>
      Lab.run({ timeScale: 0.5 }, (lab) => breakPrefill(lab, "SIGKILL")),
  },
  {
    name: "engine frozen mid-prefill",
    run: () =>
      Lab.run({ timeScale: 0.5 }, (lab) => breakPrefill(lab, "SIGSTOP")),
  },
  {
    name: "engine killed mid-stream",
    run: () =>
      Lab.run({ timeScale: 0.25 }, (lab) => breakStream(lab, "SIGKILL")),
  },
  {
    name: "engine frozen mid-stream, thawed later",
    run: () => Lab.run({ timeScale: 0.25 }, freezeAndThaw),
  },
  {
    name: "prefill longer than the limit of silence",
    run: () => Lab.run({ timeScale: 1 }, prefillLong),
  },
  {
    name: "engine leaving by the VM list alone",
    run: () => Lab.run({ timeScale: 0.25 }, leaveByList),
  },
  {
    name: "engine leaving by its own report alone",
    run: () => Lab.run({ timeScale: 0.25 }, leaveByReport),
  },
];

async function breakPrefill(
  lab: Lab,
  signal: "SIGKILL" | "SIGSTOP",
): Promise<string> {
  const [daemon] = lab.fleet.daemons;
  const question = createQuestion(30_000);
  const answer = lab.ask(daemon!.clientAddress, question);
  const engine = await lab.busyEngine();
  engine.program.signal(signal);
  expectWhole(await answer, question);
  return `${engine.vm} broke, whole from another engine`;
}

async function breakStream(
  lab: Lab,
  signal: "SIGKILL" | "SIGSTOP",
): Promise<string> {
  const [daemon] = lab.fleet.daemons;
  const question = createQuestion(1_000);
  let engine: UpstreamProgram | undefined;
  const answer = await lab.ask(daemon!.clientAddress, question, {
    onToken: (received) => {
      if (received.lastEvent === TOKENS_BEFORE_FAULT) {
        engine = lab.engineOf(received);
        engine.program.signal(signal);
      }
      return true;
    },
  });
  expectWhole(answer, question);
  return `${
    engine!.vm
  } broke after ${TOKENS_BEFORE_FAULT} tokens, whole from another engine`;
}

async function freezeAndThaw(lab: Lab): Promise<string> {
  const seen = await breakStream(lab, "SIGSTOP");
  const frozen = lab.fleet.engines.find((one) => seen.startsWith(one.vm))!;
  await lab.seen(frozen.vm, "unreachable");
  frozen.program.signal("SIGCONT");
  await lab.seen(frozen.vm, "live");
  await until(
    `${frozen.vm} has dropped the answer that nobody reads`,
    async () => await lab.running(frozen) === 0,
  );
  const question = createQuestion(1_000);
  const [daemon] = lab.fleet.daemons;
  expectWhole(await lab.ask(daemon!.clientAddress, question), question);
  return `${seen}; usable again once thawed`;
}

async function prefillLong(lab: Lab): Promise<string> {
  const [daemon] = lab.fleet.daemons;
  const question = createQuestion(250_000);
  const startedAt = Date.now();
  const answer = await lab.ask(daemon!.clientAddress, question);
  expectWhole(answer, question);
  const { counters } = await lab.status(daemon!);
  expectSame("retries after silence", counters.retried.upstream_silent, 0);
  const seconds = Math.round((Date.now() - startedAt) / 1_000);
  return `whole after ${seconds} s with a limit of 5 s, no retry`;
}

async function leaveByList(lab: Lab): Promise<string> {
  const { engine, finished } = await openOne(lab);
  await lab.fleet.listEngine(engine, "leaving");
  await lab.seen(engine.vm, "leaving");
  await lab.fleet.listEngine(engine, "live");
  const others = await expectNoNewWork(lab, engine);
  await finished;
  return `${others} prompts elsewhere, also after an older "live"; the one in flight whole`;
}

async function leaveByReport(lab: Lab): Promise<string> {
  const { engine, finished } = await openOne(lab);
  await lab.control(`http://${engine.address}`, { leaving: true });
  await lab.seen(engine.vm, "leaving");
  const others = await expectNoNewWork(lab, engine);
  await finished;
  return `${others} prompts elsewhere; the one in flight whole`;
}

/** Opens a stream and finds the engine that it runs on. */
async function openOne(lab: Lab) {
  const [daemon] = lab.fleet.daemons;
  const question = createQuestion(1_000, { answerTokens: 400 });
  let opened: (engine: UpstreamProgram) => void = () => {};
  const running = new Promise<UpstreamProgram>((resolve) => opened = resolve);
  const answer = lab.ask(daemon!.clientAddress, question, {
    onToken: (received) => {
      if (received.lastEvent === 1) opened(lab.engineOf(received));
      return true;
    },
  });
  const finished = answer.then((received) => expectWhole(received, question));
  const engine = await Promise.race([running, finished]);
  if (engine === undefined) throw new Error("the stream ended at once");
  return { engine, finished };
}

async function expectNoNewWork(
  lab: Lab,
  leaving: UpstreamProgram,
): Promise<number> {
  const asked = lab.fleet.daemons.flatMap((daemon) =>
    Array.from({ length: 8 }, async () => {
      const question = createQuestion(1_000, { answerTokens: 20 });
      const answer = await lab.ask(daemon.clientAddress, question);
      expectWhole(answer, question);
      return lab.engineOf(answer).vm;
    })
  );
  const used = await Promise.all(asked);
  expectThat(!used.includes(leaving.vm), `${leaving.vm} got new work`);
  return used.length;
}
