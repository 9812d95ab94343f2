import { type DaemonProgram, request, until } from "../../lib/fleet.ts";
import { expectSame, expectThat } from "../expect.ts";
import { Lab } from "../lab.ts";
import type { ProcessCase } from "../process_case.ts";
import { createQuestion, expectWhole } from "../question.ts";

const CLIENTS = 6;

/** All daemons are replaced while clients go on. */
export const ROLLING_CASES: readonly ProcessCase[] = [
  {
    name: "rolling replacement of every daemon under load",
    run: () => Lab.run({ timeScale: 0.5 }, replaceAll),
  },
];

async function replaceAll(lab: Lab): Promise<string> {
  const first = [...lab.fleet.daemons];
  const load = Load.create(lab);
  const clients = Promise.allSettled(
    Array.from({ length: CLIENTS }, (_, i) => load.run(`c${i}`)),
  );
  try {
    for (const old of first) await replace(lab, old, load);
  } finally {
    load.stop();
  }
  let total = 0;
  for (const client of await clients) {
    if (client.status === "rejected") throw client.reason;
    total += client.value;
  }
  expectThat(total > 0, "no request was made");
  return `${first.length} daemons replaced, ${total} of ${total} requests whole`;
}

async function replace(
  lab: Lab,
  old: DaemonProgram,
  load: Load,
): Promise<void> {
  const fresh = await lab.fleet.addDaemon();
  await until(`${fresh.vm} is ready`, () => lab.isReady(fresh));
  const drain = `http://${old.clientAddress}/v1/admin/drain`;
  await request(drain, { method: "POST" });
  expectSame(`exit code of ${old.vm}`, await old.program.exited, 0);
  const { daemons } = lab.fleet;
  daemons.splice(daemons.indexOf(old), 1);
  await lab.fleet.unlistVm(old.vm);
  await load.progress();
}

type Entries = Readonly<{ addresses: readonly string[]; until: number }>;

/** Clients that ask for addresses, keep the answer for its time, and send one prompt after the other. */
class Load {
  readonly #lab: Lab;
  #stopped = false;
  #finished = 0;

  private constructor(lab: Lab) {
    this.#lab = lab;
  }

  static create(lab: Lab): Load {
    return new Load(lab);
  }

  stop(): void {
    this.#stopped = true;
  }

  /** Resolves when each client could have finished a request since. */
  async progress(): Promise<void> {
    const goal = this.#finished + CLIENTS;
    await until("clients go on", () => Promise.resolve(this.#finished >= goal));
  }

  /** Resolves with the number of requests, all of them whole. */
  async run(client: string): Promise<number> {
    let entries = await this.#entries(client);
    let count = 0;
    while (!this.#stopped) {
      if (Date.now() > entries.until) entries = await this.#entries(client);
      const address = entries.addresses[0]!;
      const question = createQuestion(1_000);
      expectWhole(await this.#lab.ask(address, question), question);
      count += 1;
      this.#finished += 1;
    }
    return count;
  }

  async #entries(client: string): Promise<Entries> {
    const askedAt = Date.now();
    const address = this.#lab.fleet.daemons.at(-1)!.clientAddress;
    const url = `http://${address}/v1/entries?client=${client}`;
    const { entries, max_age_ms: ageMs } = (await request(url)).body as {
      entries: { address: string }[];
      max_age_ms: number;
    };
    const addresses = entries.map((entry) => entry.address);
    return { addresses, until: askedAt + ageMs };
  }
}
