import { until } from "../../lib/fleet.ts";
import { expectSame, expectThat } from "../expect.ts";
import { Lab } from "../lab.ts";
import type { ProcessCase } from "../process_case.ts";
import { createQuestion, expectWhole } from "../question.ts";

/** Connections that go silent for good while new ones work. */
export const HALF_OPEN_CASES: readonly ProcessCase[] = [
  {
    name: "half-open connections of clients",
    run: () =>
      Lab.run({ timeScale: 0.25, relays: ["clients"] }, freezeClientSide),
  },
  {
    name: "half-open connections between daemons",
    run: () => Lab.run({ relays: ["peers"] }, freezePeers),
  },
  {
    name: "half-open connections to engines mid-stream",
    run: () => Lab.run({ timeScale: 0.25, relays: ["engines"] }, freezeEngines),
  },
  {
    name: "half-open connections to engines mid-prefill",
    run: () => Lab.run({ timeScale: 0.5, relays: ["engines"] }, freezePrefill),
  },
  {
    name: "half-open connections to log and VM list",
    run: () => Lab.run({ relays: ["log", "vm_list"] }, freezePlatform),
  },
];

async function freezeClientSide(lab: Lab): Promise<string> {
  const [daemon] = lab.fleet.daemons;
  const relay = daemon!.clientRelay!;
  const question = createQuestion(1_000);
  const given = new AbortController();
  const broken = await lab.ask(relay.address, question, {
    signal: given.signal,
    onToken: ({ lastEvent }) => {
      if (lastEvent === 10) {
        void relay.control({ open: "freeze" }).then(() => given.abort());
      }
      return true;
    },
  });
  expectThat(broken.count === undefined, "the stream ended before the fault");
  const rest = await lab.resume(relay.address, broken);
  expectWhole(rest, question, broken.lastEvent);
  await until(
    "the daemon is rid of the silent client's request",
    async () => (await lab.status(daemon!)).running === 0,
  );
  return `whole on a new connection to the same daemon after event ${broken.lastEvent}`;
}

async function freezePeers(lab: Lab): Promise<string> {
  const { daemons } = lab.fleet;
  for (const daemon of daemons) {
    await daemon.peerRelay!.control({ open: "freeze" });
  }
  const asked = daemons.flatMap((daemon) =>
    Array.from({ length: 4 }, async () => {
      const question = createQuestion(1_000, { answerTokens: 20 });
      const answer = await lab.ask(daemon.clientAddress, question);
      expectWhole(answer, question);
    })
  );
  await Promise.all(asked);
  const since = new Map<string, number>();
  for (const daemon of daemons) {
    since.set(daemon.vm, (await lab.status(daemon)).at);
  }
  for (const daemon of daemons) {
    await until(`${daemon.vm} hears its peers again`, async () => {
      const { peers } = await lab.status(daemon);
      return peers.length === daemons.length - 1 &&
        peers.every((peer) => peer.heard_at > since.get(daemon.vm)!);
    });
  }
  return `${asked.length} prompts whole, heartbeats again on new connections`;
}

async function freezeEngines(lab: Lab): Promise<string> {
  const [daemon] = lab.fleet.daemons;
  const question = createQuestion(1_000);
  const answer = await lab.ask(daemon!.clientAddress, question, {
    onToken: ({ lastEvent }) => {
      if (lastEvent === 10) void freezeAll(lab);
      return true;
    },
  });
  expectWhole(answer, question);
  const { counters } = await lab.status(daemon!);
  expectSame("retries after silence", counters.retried.upstream_silent, 1);
  return "read on over a new connection";
}

async function freezePrefill(lab: Lab): Promise<string> {
  const [daemon] = lab.fleet.daemons;
  const question = createQuestion(30_000);
  const answer = lab.ask(daemon!.clientAddress, question);
  await lab.busyEngine();
  await freezeAll(lab);
  expectWhole(await answer, question);
  return "read on over a new connection";
}

async function freezeAll(lab: Lab): Promise<void> {
  for (const { relay } of lab.fleet.engines) {
    await relay!.control({ open: "freeze" });
  }
}

async function freezePlatform(lab: Lab): Promise<string> {
  const { fleet } = lab;
  await fleet.logRelay!.control({ open: "freeze" });
  await fleet.vmListRelay!.control({ open: "freeze" });
  expectSame("exit code of apply", await lab.apply("second"), 0);
  const engine = await fleet.addEngine();
  await lab.seen(engine.vm, "live");
  const question = createQuestion(1_000);
  const [daemon] = fleet.daemons;
  expectWhole(await lab.ask(daemon!.clientAddress, question), question);
  return "a new configuration and a new engine are known everywhere";
}
