import { createWriteStream, mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { performance } from "node:perf_hooks";
import process from "node:process";
import { setTimeout as sleep } from "node:timers/promises";
import { daemonIp } from "../../platform/soak/listen.ts";
import { StoreStandIn } from "../../platform/soak/store_stand_in.ts";
import { TOPIC } from "../../platform/wire/words.ts";
import { sendHttpCall } from "../../src/gateway/plain_http.ts";
import { Daemon } from "./daemon.ts";
import { Worker, type WorkerOptions } from "./worker.ts";

const ZONES = ["tanta-a", "mansoura-b", "zagazig-c"];
const HEARTBEAT_MS = 1_200;
const START_TIMEOUT_MS = 20_000;
const POLL_MS = 100;
/** A script may take 120 s. */
const MAX_MS = 118_000;
const HELD = 0;
const BROKEN = 1;
const NOT_RUN = 2;

/** A small deployment of the product's own daemons, before stand-ins of the platform, that writes down what happens. */
export class Lab {
  /** Whether the disruption is to come. */
  readonly trouble = process.env["TROUBLE"] !== "0";
  readonly daemons: Daemon[] = [];
  readonly exits: string[] = [];
  readonly store = StoreStandIn.create();
  readonly #workers: Worker[] = [];
  readonly #folder = mkdtempSync(join(tmpdir(), "review-"));
  readonly #record;
  readonly #timers: NodeJS.Timeout[] = [];
  #closing = false;

  private constructor(file: string) {
    this.#record = createWriteStream(file);
  }

  /** Runs a case, which returns what broke the rule, or undefined; ends with the exit code of a script. */
  static async run(
    file: string,
    play: (lab: Lab) => Promise<string | undefined>,
  ): Promise<void> {
    const lab = new Lab(file);
    let code = NOT_RUN;
    setTimeout(() => process.exit(NOT_RUN), MAX_MS).unref();
    try {
      const broken = await play(lab);
      lab.record("verdict", broken ?? "the rule held");
      code = broken === undefined ? HELD : BROKEN;
    } catch (cause) {
      lab.record("not run", String(cause));
    }
    await lab.#close();
    lab.#record.end(() => process.exit(code));
  }

  /** Writes a line with the time in ms. */
  record(kind: string, detail: string): void {
    const at = Math.round(performance.now());
    this.#record.write(`${at} ${kind}: ${detail}\n`);
  }

  /** Starts daemons, and waits until all of them are ready. */
  async startDaemons(count: number): Promise<void> {
    const ips = Array.from({ length: count }, (_, i) => daemonIp(i));
    for (const [i, ip] of ips.entries()) {
      this.daemons.push(Daemon.start({
        name: `front-${i + 1}`,
        ip,
        zone: ZONES[i % ZONES.length]!,
        store: await this.store.openEndpoint(() => "serves"),
        seeds: ips.slice(0, 3),
        folder: this.#folder,
        onExit: ({ daemon, code, signal }) => {
          if (this.#closing) return;
          this.exits.push(daemon);
          this.record("exit", `${daemon} code ${code} signal ${signal}`);
        },
      }));
    }
    const until = performance.now() + START_TIMEOUT_MS;
    for (const daemon of this.daemons) {
      while (!await isReady(daemon)) {
        if (performance.now() > until) throw new Error("not ready");
        await sleep(POLL_MS);
      }
      this.record("ready", daemon.name);
    }
  }

  publish(config: unknown): void {
    this.store.put(TOPIC.serving, "config", config);
  }

  /** Starts a worker, which writes its entry at each heartbeat. */
  async startWorker(
    options: Omit<WorkerOptions, "zone"> & Readonly<{ zone?: string }>,
  ): Promise<Worker> {
    const zone = options.zone ?? ZONES[this.#workers.length % ZONES.length]!;
    const worker = await Worker.start({ ...options, zone });
    this.#workers.push(worker);
    const write = () =>
      this.store.put(TOPIC.register, options.id, worker.entry());
    write();
    this.#timers.push(setInterval(write, HEARTBEAT_MS));
    return worker;
  }

  async #close(): Promise<void> {
    this.#closing = true;
    for (const timer of this.#timers) clearInterval(timer);
    await Promise.all(this.daemons.map((daemon) => daemon.end()));
    for (const worker of this.#workers) worker.close();
    this.store.close();
    // For whoever traces a case.
    if (process.env["KEEP"] !== undefined) {
      return this.record("logs", this.#folder);
    }
    rmSync(this.#folder, { recursive: true, force: true });
  }
}

async function isReady(daemon: Daemon): Promise<boolean> {
  const answer = await sendHttpCall({
    method: "GET",
    address: daemon.readiness,
    path: "/api/readiness",
  });
  return answer.map(({ status }) => status === 200).unwrapOr(false);
}
