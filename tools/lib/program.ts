import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import { createWriteStream, type WriteStream } from "node:fs";
import { createServer } from "node:net";
import { dirname, resolve } from "node:path";
import process from "node:process";
import { createInterface } from "node:readline";
import { fileURLToPath } from "node:url";
import { z } from "zod";
import { closeServer, listenOnLoopback } from "./loopback.ts";

/** The folder of the built programs. */
export const DIST = resolve(dirname(fileURLToPath(import.meta.url)), "../..");

const LINE_TIMEOUT_MS = 30_000;
const running = new Set<ChildProcess>();

process.on("exit", () => running.forEach((child) => child.kill("SIGKILL")));
for (const signal of ["SIGTERM", "SIGINT"] as const) {
  process.on(signal, () => process.exit(1));
}
const ListeningSchema = z.object({ address: z.string() });

/** How a program is started. */
export type ProgramOptions = Readonly<{
  args?: readonly string[];
  /** File for its output; without it, output is dropped. */
  logFile?: string;
}>;

/** A program that this process has started, and ends by its id. */
export class Program {
  readonly name: string;
  readonly #child: ChildProcess;
  readonly #lines: string[] = [];
  readonly #exit: Promise<number>;
  #log: WriteStream | undefined;
  #waiting: (() => void)[] = [];

  private constructor(name: string, child: ChildProcess) {
    this.name = name;
    this.#child = child;
    this.#exit = once(child, "exit").then(([code]) => Number(code ?? -1));
  }

  /** Starts a built program, given by its path below the build folder. */
  static create(path: string, options: ProgramOptions = {}): Program {
    const child = spawn(
      process.execPath,
      [resolve(DIST, path), ...(options.args ?? [])],
      { stdio: ["ignore", "pipe", "pipe"] },
    );
    const program = new Program(path, child);
    program.#watch(options.logFile);
    return program;
  }

  get pid(): number {
    return this.#child.pid ?? -1;
  }

  get hasExited(): boolean {
    return this.#child.exitCode !== null || this.#child.signalCode !== null;
  }

  /** Resolves with the exit code; -1 after a signal. */
  get exited(): Promise<number> {
    return this.#exit;
  }

  /** Resolves with the address that the program prints once it listens. */
  async address(): Promise<string> {
    const line = await this.line((text) => text.includes('"address"'));
    return ListeningSchema.parse(JSON.parse(line)).address;
  }

  /** Resolves with the first line of output that fits. */
  async line(fits: (line: string) => boolean): Promise<string> {
    const deadline = Date.now() + LINE_TIMEOUT_MS;
    for (;;) {
      const found = this.#lines.find(fits);
      if (found !== undefined) return found;
      if (Date.now() > deadline || this.hasExited) {
        throw new Error(
          `${this.name} printed no such line: ${
            this.#lines.slice(-5).join("\n")
          }`,
        );
      }
      await this.#next();
    }
  }

  /** Sends a signal to this program alone. */
  signal(name: NodeJS.Signals): void {
    this.#child.kill(name);
  }

  /** Ends the program at once, stopped or not. */
  async kill(): Promise<void> {
    if (this.hasExited) return;
    this.#child.kill("SIGKILL");
    await this.#exit;
  }

  #watch(logFile: string | undefined): void {
    this.#log = logFile === undefined ? undefined : createWriteStream(logFile);
    for (const stream of [this.#child.stdout, this.#child.stderr]) {
      if (stream === null) continue;
      createInterface({ input: stream }).on("line", (line) => this.#take(line));
    }
    running.add(this.#child);
    this.#child.on("exit", () => {
      running.delete(this.#child);
      this.#wake();
      this.#log?.end();
    });
  }

  #take(line: string): void {
    this.#lines.push(line);
    if (this.#lines.length > 1_000) this.#lines.shift();
    this.#log?.write(`${line}\n`);
    this.#wake();
  }

  #next(): Promise<void> {
    return new Promise((resolve) => {
      const timer = setTimeout(resolve, 100);
      this.#waiting.push(() => {
        clearTimeout(timer);
        resolve();
      });
    });
  }

  #wake(): void {
    const waiting = this.#waiting;
    this.#waiting = [];
    for (const wake of waiting) wake();
  }
}

/** Finds a free loopback port. */
export async function freePort(): Promise<number> {
  const server = createServer();
  const port = await listenOnLoopback(server);
  await closeServer(server);
  return port;
}
