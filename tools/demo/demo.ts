import { randomUUID } from "node:crypto";
import { setTimeout as sleep } from "node:timers/promises";
import { v7 } from "uuid";
import { type DaemonProgram, Fleet, request, until } from "../lib/fleet.ts";
import { Program } from "../lib/program.ts";
import { readStream, type ReceivedStream } from "../lib/sse.ts";

const BYTES_PER_TOKEN = 4;
const EXAMPLE = "examples/cooperative";
const TEAM = "makers-damietta";
const MAX_TRIES = 10;
const TIME_SCALE = 20;

type Check = Readonly<{ name: string; run: () => Promise<string> }>;

/** Runs a small fleet on loopback and shows the main promises one by one. */
export class Demo {
  readonly #fleet = Fleet.create({
    daemons: 3,
    engines: 5,
    timeScale: TIME_SCALE,
    // Every answer is as long as it may be, so that none ends before its daemon is killed.
    meanAnswerTokens: 1_000_000,
    loaded: "assistant/2026-09:wire-and-wood,ledgers",
    group: "assistants",
    service: "orders",
    domains: ["a", "b", "c"],
  });

  private constructor() {}

  static create(): Demo {
    return new Demo();
  }

  /** Prints a line for each check; resolves with whether all of them held. */
  async run(): Promise<boolean> {
    try {
      for (const check of this.#checks()) {
        const startedAt = Date.now();
        const result = await check.run();
        console.log(
          `ok    ${check.name}: ${result} (${Date.now() - startedAt} ms)`,
        );
      }
      console.log("demo: ok");
      return true;
    } catch (err) {
      console.log(`failed  ${(err as Error).message}`);
      console.log(`logs were in ${this.#fleet.folder}`);
      return false;
    } finally {
      await this.#fleet.stop();
    }
  }

  #checks(): readonly Check[] {
    return [
      { name: "start", run: () => this.#start() },
      { name: "configuration", run: () => this.#apply() },
      { name: "short question", run: () => this.#ask(1_500) },
      { name: "document of 200,000 tokens", run: () => this.#ask(200_000) },
      { name: "prompt larger than one engine", run: () => this.#ask(600_000) },
      { name: "reservation sent twice", run: () => this.#reserve() },
      { name: "daemon killed under a stream", run: () => this.#killDaemon() },
      { name: "planned stop", run: () => this.#drain() },
    ];
  }

  async #start(): Promise<string> {
    await this.#fleet.start();
    const { daemons, engines, services } = this.#fleet;
    return `${daemons.length} daemons, ${engines.length} engines, ${services.length} service`;
  }

  async #apply(): Promise<string> {
    const [daemon] = this.#fleet.daemons;
    const args = [
      "apply",
      EXAMPLE,
      "--log",
      this.#fleet.logUrl,
      "--entry",
      daemon!.clientAddress,
    ];
    const cli = Program.create("src/cli/main.js", { args });
    const code = await cli.exited;
    expect(code === 0, `apply exited with ${code}`);
    for (const one of this.#fleet.daemons) {
      await until(`${one.vm} is ready`, async () => {
        const ready = await request(`http://${one.clientAddress}/readyz`);
        return ready.status === 200;
      });
    }
    await until(
      "all engines are known",
      () => this.#sees(daemon!, this.#fleet.engines.length),
    );
    return "accepted and in force on every daemon";
  }

  async #sees(daemon: DaemonProgram, engines: number): Promise<boolean> {
    const status = await request(
      `http://${daemon.clientAddress}/v1/admin/status`,
    );
    const { upstreams } = status.body as {
      upstreams: { kind: string; loaded?: unknown[] }[];
    };
    return upstreams.filter((one) =>
      one.kind === "engine" && one.loaded !== undefined
    ).length === engines;
  }

  async #ask(tokens: number): Promise<string> {
    const received = await this.#stream(this.#entry(), prompt(tokens));
    expectWhole(received);
    return `${received.count} tokens streamed whole`;
  }

  async #reserve(): Promise<string> {
    const [service] = this.#fleet.services;
    const [one, other] = this.#fleet.daemons;
    const key = v7();
    const first = await reserve(one!, key);
    expect(first.status === 201, `the reservation failed: ${text(first.body)}`);
    const second = await reserve(other!, key);
    expect(
      text(first.body) === text(second.body),
      `the answers differ: ${text(first.body)} and ${text(second.body)}`,
    );
    const runs = await request(`http://${service!.address}/control/runs`);
    const count = runsOf(runs.body, key);
    expect(count === 1, `the reservation ran ${count} times`);
    return "two daemons, one answer, ran once";
  }

  async #killDaemon(): Promise<string> {
    const daemon = this.#fleet.daemons[0]!;
    const broken = await this.#stream(daemon, prompt(2_000), (received) => {
      if (received.lastEvent === 5) void daemon.program.kill();
      return true;
    });
    expect(
      broken.count === undefined,
      "the stream ended before its daemon was killed",
    );
    const other = this.#fleet.daemons[1]!;
    const url =
      `http://${other.clientAddress}/v1/requests/${broken.requestId}/stream`;
    const rest = await readStream(url, {
      method: "GET",
      headers: {
        "x-team": TEAM,
        "x-resume-token": broken.resumeToken,
        "last-event-id": String(broken.lastEvent),
      },
    });
    expectWhole(rest);
    return `resumed after event ${broken.lastEvent}, whole at ${rest.count}`;
  }

  async #drain(): Promise<string> {
    const [, daemon, other] = this.#fleet.daemons;
    const streams = Array.from(
      { length: 8 },
      () => this.#stream(daemon!, prompt(2_000)),
    );
    await request(`http://${daemon!.clientAddress}/v1/admin/drain`, {
      method: "POST",
    });
    await until("only the last daemon is given out", async () => {
      const entries = await entriesOf(other!);
      return entries.length === 1 && entries[0] === other!.clientAddress;
    });
    for (const received of await Promise.all(streams)) expectWhole(received);
    const code = await daemon!.program.exited;
    expect(code === 0, `the drained daemon exited with ${code}`);
    return `${streams.length} streams whole, exit 0, no longer given out`;
  }

  #entry(): DaemonProgram {
    return this.#fleet.daemons[0]!;
  }

  #stream(
    daemon: DaemonProgram,
    content: string,
    onToken?: (received: ReceivedStream) => boolean,
  ): Promise<ReceivedStream> {
    return readStream(`http://${daemon.clientAddress}/v1/chat/completions`, {
      method: "POST",
      headers: {
        "x-team": TEAM,
        "x-class": "ledger-review",
        "content-type": "application/json",
      },
      body: JSON.stringify({
        model: "assistant",
        stream: true,
        max_tokens: 200,
        messages: [{ role: "user", content }],
      }),
      onToken,
    });
  }
}

/** Sends a reservation; comes back as long as another try of its key may be running. */
async function reserve(
  daemon: DaemonProgram,
  key: string,
): ReturnType<typeof request> {
  const url = `http://${daemon.clientAddress}/v1/services/orders/reservations`;
  const headers = { "x-team": TEAM, "idempotency-key": key };
  const body = { item: "pegs", quantity: 10 };
  for (let tries = 0;; tries += 1) {
    const answer = await request(url, { method: "POST", headers, body });
    if (answer.status !== 409 || tries === MAX_TRIES) return answer;
    await sleep(Number(answer.headers.get("retry-after")) * 1_000);
  }
}

async function entriesOf(daemon: DaemonProgram): Promise<readonly string[]> {
  const answer = await request(`http://${daemon.clientAddress}/v1/entries`);
  const { entries } = answer.body as { entries: { address: string }[] };
  return entries.map((entry) => entry.address);
}

function text(body: unknown): string {
  return JSON.stringify(body);
}

function prompt(tokens: number): string {
  const head = `${randomUUID()} `;
  return head + "x".repeat(tokens * BYTES_PER_TOKEN - head.length);
}

function expect(holds: boolean, otherwise: string): void {
  if (!holds) throw new Error(otherwise);
}

function expectWhole(received: ReceivedStream): void {
  expect(
    received.status === 200,
    `status ${received.status}: ${received.problem}`,
  );
  expect(
    received.problem === undefined,
    `the stream failed: ${received.problem}`,
  );
  expect(
    received.count === received.lastEvent,
    `${received.lastEvent} of ${received.count} tokens came`,
  );
}

function runsOf(body: unknown, key: string): number {
  const { by_key: byKey } = body as { by_key: Record<string, number> };
  return byKey[key] ?? 0;
}
