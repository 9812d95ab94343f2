import { Buffer } from "node:buffer";
import { cpSync, mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { ResumeClaimsSchema } from "../../src/http/resume_token.ts";
import { type AdminStatus, AdminStatusSchema } from "../../src/wire/admin.ts";
import { LoadReportSchema } from "../../src/wire/engine.ts";
import {
  type DaemonProgram,
  Fleet,
  type RelayedEnd,
  request,
  until,
  type UpstreamProgram,
} from "../lib/fleet.ts";
import { Program } from "../lib/program.ts";
import { readStream, type ReceivedStream } from "../lib/sse.ts";
import { expectSame, expectThat } from "./expect.ts";
import {
  createQuestion,
  MEAN_ANSWER_TOKENS,
  type Question,
} from "./question.ts";

/** Deadline of each prompt; all of them end much earlier unless something is lost. */
const DEADLINE_MS = 100_000;
const GIVE_UP_MS = 120_000;
const EXAMPLE = "examples/cooperative";
const LIMITS = [
  "[limits]",
  "entry_max_age_ms = 3000",
  "upstream_silence_ms = 5000",
  "retry_ratio = 1",
  "",
].join("\n");
/** The team of all requests of a case. */
export const TEAM = "makers-damietta";

/** What a case starts with. */
export type LabOptions = Readonly<{
  daemons?: number;
  engines?: number;
  timeScale?: number;
  relays?: readonly RelayedEnd[];
}>;

/** How a question is asked. */
export type AskOptions = Readonly<{
  onToken?: (received: ReceivedStream) => boolean;
  signal?: AbortSignal;
}>;

/** A fleet of its own for one case, with a configuration in force. */
export class Lab {
  readonly fleet: Fleet;
  readonly #folder = mkdtempSync(join(tmpdir(), "parsleyfield-config-"));

  private constructor(options: LabOptions) {
    this.fleet = Fleet.create({
      daemons: options.daemons ?? 3,
      engines: options.engines ?? 3,
      timeScale: options.timeScale ?? 1,
      relays: options.relays,
      meanAnswerTokens: MEAN_ANSWER_TOKENS,
      loaded: "assistant/2026-09:wire-and-wood,ledgers",
      group: "assistants",
      service: "orders",
      domains: ["a", "b", "c"],
    });
  }

  /** Runs a case in a fleet of its own, which is stopped afterwards. */
  static async run<Value>(
    options: LabOptions,
    body: (lab: Lab) => Promise<Value>,
  ): Promise<Value> {
    const lab = new Lab(options);
    try {
      await lab.fleet.start();
      expectSame("exit code of apply", await lab.apply("first"), 0);
      await lab.settled();
      await lab.signing();
      return await body(lab);
    } finally {
      await lab.fleet.stop();
      rmSync(lab.#folder, { recursive: true, force: true });
    }
  }

  /** Publishes the example with one more team, by the command-line tool; resolves with its exit code. */
  async apply(team: string, args: readonly string[] = []): Promise<number> {
    const cli = this.startApply(team, args);
    return await cli.exited;
  }

  /** Starts to publish the example with one more team. */
  startApply(team: string, args: readonly string[] = []): Program {
    const folder = join(this.#folder, team);
    cpSync(EXAMPLE, folder, { recursive: true });
    writeFileSync(join(folder, "90-limits.ini"), LIMITS);
    writeFileSync(
      join(folder, "91-team.ini"),
      `[team.${team}]\nshare = 1\n`,
    );
    const { logUrl, daemons } = this.fleet;
    return Program.create("src/cli/main.js", {
      args: [
        "apply",
        folder,
        ...["--log", logUrl, "--entry", daemons[0]!.clientAddress],
        ...args,
      ],
      logFile: join(this.fleet.folder, `apply-${team}.log`),
    });
  }

  /** Waits until all daemons serve and know all peers and engines. */
  async settled(): Promise<void> {
    const { daemons, engines } = this.fleet;
    for (const daemon of daemons) {
      await until(`${daemon.vm} knows the fleet`, async () => {
        if (!await this.isReady(daemon)) return false;
        const { peers, upstreams } = await this.status(daemon);
        const loaded = upstreams.filter((one) => one.loaded !== undefined);
        const listed = new Set(peers.map((peer) => peer.vm));
        return loaded.length >= engines.length &&
          listed.size >= daemons.length - 1;
      });
    }
  }

  /** Waits until all daemons have read the key that signs resume tokens. */
  async signing(): Promise<void> {
    for (const daemon of this.fleet.daemons) {
      await until(`${daemon.vm} signs resume tokens`, async () => {
        const question = createQuestion(16, { answerTokens: 1 });
        const { resumeToken } = await this.ask(daemon.clientAddress, question);
        return resumeToken !== "";
      });
    }
  }

  /** Whether a daemon says that it is ready. */
  async isReady(daemon: DaemonProgram): Promise<boolean> {
    const ready = await request(`http://${daemon.clientAddress}/readyz`);
    return ready.status === 200;
  }

  /** One daemon's own view. */
  async status(daemon: DaemonProgram): Promise<AdminStatus> {
    const url = `http://${daemon.clientAddress}/v1/admin/status`;
    return AdminStatusSchema.parse((await request(url)).body);
  }

  /** Asks a question at one address and reads its answer as a stream. */
  ask(
    address: string,
    question: Question,
    options: AskOptions = {},
  ): Promise<ReceivedStream> {
    return readStream(`http://${address}/v1/chat/completions`, {
      method: "POST",
      headers: {
        "x-team": TEAM,
        "x-class": "ledger-review",
        "x-deadline-ms": String(DEADLINE_MS),
        "content-type": "application/json",
      },
      body: JSON.stringify({
        model: "assistant",
        stream: true,
        max_tokens: question.answerTokens,
        messages: [{ role: "user", content: question.content }],
      }),
      onToken: options.onToken,
      signal: bounded(options.signal),
    });
  }

  /** Reads the rest of a broken stream at any daemon. */
  resume(address: string, broken: ReceivedStream): Promise<ReceivedStream> {
    return readStream(
      `http://${address}/v1/requests/${broken.requestId}/stream`,
      {
        method: "GET",
        headers: {
          "x-team": TEAM,
          "x-resume-token": broken.resumeToken,
          "last-event-id": String(broken.lastEvent),
        },
        signal: bounded(),
      },
    );
  }

  /** The engine that answers a stream. */
  engineOf(received: ReceivedStream): UpstreamProgram {
    const [payload = ""] = received.resumeToken.split(".");
    const claims = ResumeClaimsSchema.parse(
      JSON.parse(Buffer.from(payload, "base64url").toString()),
    );
    const found = this.fleet.engines.find((one) => one.vm === claims.upstream);
    expectThat(found !== undefined, `no engine ${claims.upstream} was started`);
    return found!;
  }

  /** Waits until one engine reports work, and returns it. */
  async busyEngine(): Promise<UpstreamProgram> {
    let busy: UpstreamProgram | undefined;
    await until("an engine is busy", async () => {
      for (const engine of this.fleet.engines) {
        if (await this.running(engine) > 0) busy = engine;
      }
      return busy !== undefined;
    });
    return busy!;
  }

  /** Answers that an engine says are running or waiting. */
  async running(engine: UpstreamProgram): Promise<number> {
    const res = await request(`http://${engine.address}/v1/load`);
    const { running, waiting } = LoadReportSchema.parse(res.body);
    return running + waiting;
  }

  /** Waits until all daemons see an upstream in a state. */
  async seen(vm: string, state: string): Promise<void> {
    for (const daemon of this.fleet.daemons) {
      await until(`${daemon.vm} sees ${vm} as ${state}`, async () => {
        const { upstreams } = await this.status(daemon);
        return upstreams.some((one) => one.id === vm && one.state === state);
      });
    }
  }

  /** Switches faults of a stand-in, given by its URL. */
  async control(url: string, change: unknown): Promise<void> {
    const options = { method: "POST", body: change };
    const res = await request(`${url}/control`, options);
    expectSame("status of a control call", res.status, 200);
  }

  /** Switches faults of the log service. */
  controlLog(change: unknown): Promise<void> {
    return this.control(this.fleet.logUrl, change);
  }

  /** Switches faults of the VM list. */
  controlVmList(change: unknown): Promise<void> {
    return this.control(this.fleet.vmListUrl, change);
  }
}

function bounded(signal?: AbortSignal): AbortSignal {
  const limit = AbortSignal.timeout(GIVE_UP_MS);
  return signal === undefined ? limit : AbortSignal.any([signal, limit]);
}
