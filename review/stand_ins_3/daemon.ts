import { type ChildProcess, spawn } from "node:child_process";
import { closeSync, openSync, readFileSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import process from "node:process";

const CLIENT_PORT = 8_227;
const READY_PORT = 8_220;
const DIRECTORY_PORT = 8_224;
const PEER_PORT = 7_340;
/** Delay before an ended process is started again. */
const RESTART_DELAY_MS = 300;
/** Memory of a machine, beyond which the platform ends its process. */
export const MEMORY_MB = 272;
const ROLE_RUN = /^run = "([^"]+)"$/m;

/** Start parameters of a daemon; `store` is the address of its endpoint of the store, `seeds` are IP addresses. */
export type DaemonOptions = Readonly<{
  name: string;
  ip: string;
  zone: string;
  store: string;
  seeds: readonly string[];
  folder: string;
  onExit: (
    exit: Readonly<{ daemon: string; code: number | null; signal: string }>,
  ) => void;
}>;

const RUNNING = new Set<ChildProcess>();
// A script that is interrupted leaves no daemon running.
process.once("exit", () => {
  for (const child of RUNNING) child.kill("SIGKILL");
});
for (const signal of ["SIGINT", "SIGTERM"] as const) {
  process.once(signal, () => process.exit(2));
}

/** A daemon of the product, run with the command of the deploy file; it is started again whenever it ends. */
export class Daemon {
  readonly #options: DaemonOptions;
  #child: ChildProcess | undefined;
  #stopped = false;

  private constructor(options: DaemonOptions) {
    this.#options = options;
  }

  static start(options: DaemonOptions): Daemon {
    const daemon = new Daemon(options);
    daemon.#start();
    return daemon;
  }

  get name(): string {
    return this.#options.name;
  }

  get front(): string {
    return `${this.#options.ip}:${CLIENT_PORT}`;
  }

  get readiness(): string {
    return `${this.#options.ip}:${READY_PORT}`;
  }

  get directory(): string {
    return `${this.#options.ip}:${DIRECTORY_PORT}`;
  }

  /** Resident memory of the process in MB: now, and at its peak. */
  get memoryMb(): Readonly<{ now: number; peak: number }> | undefined {
    try {
      const status = readFileSync(`/proc/${this.#child?.pid}/status`, "utf8");
      const mb = (name: string) =>
        Math.round(
          Number(new RegExp(`${name}:\\s+(\\d+)`).exec(status)?.[1]) / 1_024,
        );
      return { now: mb("VmRSS"), peak: mb("VmHWM") };
    } catch {
      return undefined;
    }
  }

  signal(signal: NodeJS.Signals): void {
    this.#child?.kill(signal);
  }

  /** Ends the process for good. */
  async end(): Promise<void> {
    this.#stopped = true;
    const child = this.#child;
    if (child === undefined || child.exitCode !== null) return;
    if (child.signalCode !== null) return;
    const exited = new Promise((resolve) => child.once("exit", resolve));
    child.kill("SIGCONT");
    child.kill("SIGKILL");
    await exited;
  }

  #start(): void {
    if (this.#stopped) return;
    const { name, folder, onExit } = this.#options;
    const settings = join(folder, `${name}.json`);
    writeFileSync(settings, JSON.stringify(settingsOf(this.#options)));
    const run = ROLE_RUN.exec(readFileSync("deploy/system.toml", "utf8"))?.[1];
    const [, ...args] = run?.split(" ") ?? [];
    const log = openSync(join(folder, `${name}.log`), "a");
    const child = spawn(process.execPath, args, {
      env: { PARSLEYFIELD_BOOT: settings },
      stdio: ["ignore", log, log],
    });
    closeSync(log);
    this.#child = child;
    RUNNING.add(child);
    child.once("exit", (code, signal) => {
      RUNNING.delete(child);
      onExit({ daemon: name, code, signal: signal ?? "" });
      setTimeout(() => this.#start(), RESTART_DELAY_MS);
    });
  }
}

/** The settings of a machine of the small deployments, as the deploy page shows them. */
function settingsOf({ name, ip, zone, store, seeds }: DaemonOptions) {
  return {
    nodeName: name,
    role: "gateway",
    machineClass: "front",
    serves: ["front", "control", "directory"],
    ip,
    zone,
    region: "delta-north",
    listen: {
      frontend: `${ip}:${CLIENT_PORT}`,
      readiness: `${ip}:${READY_PORT}`,
      controlPlane: `${ip}:8229`,
      directory: `${ip}:${DIRECTORY_PORT}`,
    },
    internalPorts: [PEER_PORT, PEER_PORT + 15],
    seedNodes: seeds.map((seed) => `${seed}:8229`),
    bootstrap: true,
    limits: {
      cpuShare: 0.459,
      cpuCores: 1,
      memoryMb: MEMORY_MB,
      maxFds: 2_069,
      linkMbps: 490,
      diskMb: 0,
    },
    heartbeatMs: 1_200,
    bounds: {
      graceS: 8,
      retryBudgetRatio: 0.2,
      retryBudgetSlack: 234,
      budgetWindowS: 10,
    },
    platform: { address: store, form: "log" },
  };
}
