import { Buffer } from "node:buffer";
import { type ChildProcess, spawn } from "node:child_process";
import {
  closeSync,
  mkdtempSync,
  openSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from "node:fs";
import { type AddressInfo, connect, createServer, type Socket } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { setTimeout as sleep } from "node:timers/promises";
import { StoreStandIn } from "../../platform/soak/store_stand_in.ts";

export { sleep };

export const HOST = "ficu95.example";
export const KEY = "n2ctnfzs989anu6wsjnb";

/** Exit codes of a case: the rule held, it was broken, or the case couldn't run. */
export const HELD = 0;
export const BROKEN = 1;
export const NOT_RUN = 2;

/** Whether the case runs with its disruption. */
export const TROUBLE = process.env["TROUBLE"] !== "0";

/** Settings of a daemon that differ between cases. */
export type DaemonOptions = Readonly<{
  name: string;
  store: string;
  memoryMb?: number;
  graceS?: number;
  seeds?: readonly string[];
}>;

/** Facts of a run, in the order in which they were seen, written to `record.txt`. */
export class Record {
  readonly #lines: string[] = [];
  readonly #startedAt = Date.now();

  line(text: string): void {
    const ms = String(Date.now() - this.#startedAt).padStart(6);
    this.#lines.push(`${ms} ${text}`);
  }

  write(folder: string): void {
    writeFileSync(join(folder, "record.txt"), this.#lines.join("\n") + "\n");
  }
}

const daemons = new Set<Daemon>();
const folder = mkdtempSync(join(tmpdir(), "review-"));
for (const signal of ["SIGTERM", "SIGINT", "SIGHUP"]) {
  process.once(signal, () => process.exit(NOT_RUN));
}
process.once("exit", () => {
  for (const daemon of daemons) daemon.signal("SIGKILL");
  rmSync(folder, { recursive: true, force: true });
});

/** A daemon, started with the `run` line of the deploy file. */
export class Daemon {
  readonly name: string;
  readonly front: string;
  readonly readiness: string;
  readonly settingsPath: string;
  readonly logPath: string;
  readonly settings: { [key: string]: unknown };
  #child: ChildProcess | undefined;
  #ended: Promise<void> = Promise.resolve();

  private constructor(options: DaemonOptions, ip: string) {
    this.name = options.name;
    this.front = `${ip}:8227`;
    this.readiness = `${ip}:8220`;
    this.settingsPath = join(folder, `${options.name}.json`);
    this.logPath = join(folder, `${options.name}.log`);
    this.settings = settingsOf(options, ip);
  }

  static start(options: DaemonOptions): Daemon {
    const daemon = new Daemon(options, loopbackIp(daemons.size + 1));
    daemons.add(daemon);
    daemon.restart();
    return daemon;
  }

  get pid(): number | undefined {
    return this.#child?.pid;
  }

  get ended(): Promise<void> {
    return this.#ended;
  }

  get running(): boolean {
    const child = this.#child;
    return child !== undefined && child.exitCode === null &&
      child.signalCode === null;
  }

  writeSettings(): void {
    writeFileSync(this.settingsPath, JSON.stringify(this.settings));
  }

  restart(): void {
    this.writeSettings();
    const run = /^run = "(.*)"$/m.exec(
      readFileSync("deploy/system.toml", "utf8"),
    )![1]!.split(" ");
    const log = openSync(this.logPath, "a");
    const child = spawn(run[0]!, run.slice(1), {
      env: {
        PATH: process.env["PATH"],
        HOME: process.env["HOME"],
        PARSLEYFIELD_BOOT: this.settingsPath,
      },
      stdio: ["ignore", log, log],
    });
    closeSync(log);
    this.#child = child;
    this.#ended = new Promise((resolve) => child.once("exit", () => resolve()));
  }

  signal(signal: NodeJS.Signals): void {
    this.#child?.kill(signal);
  }

  /** Peak and current resident memory in MB; undefined if the process has ended. */
  memory(): Readonly<{ peakMb: number; nowMb: number }> | undefined {
    try {
      const status = readFileSync(`/proc/${this.pid}/status`, "utf8");
      const read = (name: string) =>
        Number(new RegExp(`${name}:\\s+(\\d+)`).exec(status)?.[1] ?? NaN) /
        1_024;
      return { peakMb: read("VmHWM"), nowMb: read("VmRSS") };
    } catch {
      return undefined;
    }
  }

  log(): string {
    return readFileSync(this.logPath, "utf8");
  }

  /** Waits until the readiness call is answered with 200. */
  async ready(): Promise<boolean> {
    for (let i = 0; i < 150; i += 1) {
      const status = await send(this.readiness, {
        text:
          `GET /api/readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n`,
        timeoutMs: 500,
      });
      if (status.text.startsWith("HTTP/1.1 200")) return true;
      await sleep(100);
    }
    return false;
  }
}

/** Address of the nth daemon that the case starts, from 1. */
export function loopbackIp(n: number): string {
  return `127.${64 + (process.pid >> 8 & 63)}.${process.pid & 255}.${n}`;
}

/** Settings like those of the smallest deployment. */
function settingsOf(options: DaemonOptions, ip: string) {
  const { name, store, memoryMb = 272, graceS = 8, seeds = [] } = options;
  return {
    nodeName: name,
    role: "gateway",
    machineClass: "front",
    serves: ["front", "control", "directory"],
    ip,
    zone: "tanta-a",
    region: "delta-north",
    zones: { "tanta-a": "delta-north" },
    listen: {
      frontend: `${ip}:8227`,
      readiness: `${ip}:8220`,
      controlPlane: `${ip}:8229`,
      directory: `${ip}:8224`,
    },
    internalPorts: [7340, 7355],
    seedNodes: seeds.map((seed) => `${seed}:8229`),
    bootstrap: true,
    limits: {
      cpuShare: 0.459,
      cpuCores: 1,
      memoryMb,
      maxFds: 2069,
      linkMbps: 490,
      diskMb: 0,
    },
    dataDir: null,
    bounds: {
      stableWindowMs: 3000,
      drainMs: 2000,
      graceS,
      lossSlackMs: 200,
      configApplyMs: 2000,
      retryBudgetRatio: 0.2,
      budgetWindowS: 10,
      retryBudgetSlack: 234,
    },
    platform: { address: store, form: "log" },
  };
}

/** Answers a call to a worker's own interface, as an engine without requests does; false if it is a request. */
export function answerReport(
  { path, socket }: WorkerRequest,
  born: number,
): boolean {
  if (!path.startsWith("/api/")) return false;
  const body = JSON.stringify({ pace: 1, born });
  socket.write(
    `HTTP/1.1 200 OK\r\nContent-Length: ${body.length}\r\n\r\n${body}`,
  );
  return true;
}

/** A request as a worker has read it. */
export type WorkerRequest = Readonly<{
  method: string;
  path: string;
  headers: ReadonlyMap<string, string>;
  body: Buffer;
  socket: Socket;
}>;

/** Calls `serve` for each whole request on a connection, in order. */
export function readRequests(
  socket: Socket,
  serve: (req: WorkerRequest) => void | Promise<void>,
): void {
  let received = Buffer.alloc(0);
  socket.on("error", () => {});
  socket.on("data", (bytes: Buffer) => {
    received = Buffer.concat([received, bytes]);
    for (;;) {
      const end = received.indexOf("\r\n\r\n");
      if (end < 0) return;
      const [first = "", ...lines] = received.subarray(0, end)
        .toString("latin1").split("\r\n");
      const headers = new Map(lines.map((line) => {
        const colon = line.indexOf(":");
        const name = line.slice(0, colon).toLowerCase();
        return [name, line.slice(colon + 1).trim()] as const;
      }));
      const bodyAt = end + 4;
      const bodyEnd = bodyAt + Number(headers.get("content-length") ?? 0);
      if (received.length < bodyEnd) return;
      const body = received.subarray(bodyAt, bodyEnd);
      received = received.subarray(bodyEnd);
      const [method = "", path = ""] = first.split(" ");
      void serve({ method, path, headers, body, socket });
    }
  });
}

/** Listens on a free loopback port; calls `serve` for each request, which answers with bytes of its own. */
export function startWorker(
  serve: (req: WorkerRequest) => void | Promise<void>,
): Promise<string> {
  const server = createServer((socket) => readRequests(socket, serve));
  return new Promise((resolve) =>
    server.listen(0, "127.0.0.1", () => {
      const { port } = server.address() as AddressInfo;
      resolve(`127.0.0.1:${port}`);
    })
  );
}

/** What a client received on one connection, and how it ended. */
export type Received = { text: string; end: "open" | "closed" | "reset" };

/** Sends a text on a connection of its own, and returns what arrives until it is a whole response or the time is over. */
export function send(
  address: string,
  options: Readonly<{ text: string; timeoutMs: number }>,
): Promise<Received> {
  const client = KeptConnection.open(address);
  client.write(options.text);
  return new Promise((resolve) => {
    const done = () => {
      clearTimeout(timer);
      client.destroy();
      resolve({ text: client.text, end: client.end });
    };
    const timer = setTimeout(done, options.timeoutMs);
    client.onEnd(done);
    client.onBytes = (text) => {
      if (isWhole(text)) done();
    };
  });
}

/** Whether a text is a whole response, if it has a length. */
function isWhole(text: string): boolean {
  const end = text.indexOf("\r\n\r\n");
  const [, length] = /\r\ncontent-length: *(\d+)/i.exec(text) ?? [];
  return end >= 0 && length !== undefined &&
    text.length >= end + 4 + Number(length);
}

/** The status of a response; 0 if there is none. */
export function statusOf({ text }: Received): number {
  return Number(/^HTTP\/1\.1 (\d{3}) /.exec(text)?.[1] ?? 0);
}

/** A client's connection that is kept for several requests; gathers all bytes that arrive. */
export class KeptConnection {
  readonly #socket: Socket;
  text = "";
  end: Received["end"] = "open";
  onBytes: (text: string) => void = () => {};

  private constructor(address: string) {
    const [host, port] = address.split(":");
    this.#socket = connect({ host, port: Number(port) });
    this.#socket.on("data", (bytes: Buffer) => {
      this.text += bytes.toString("latin1");
      this.onBytes(this.text);
    });
    this.#socket.on("error", () => this.end = "reset");
    this.#socket.on("end", () => {
      if (this.end === "open") this.end = "closed";
    });
  }

  static open(address: string): KeptConnection {
    return new KeptConnection(address);
  }

  write(text: string): void {
    this.#socket.write(text);
  }

  onEnd(done: () => void): void {
    this.#socket.once("close", done);
  }

  destroy(): void {
    this.#socket.destroy();
  }
}

/** Head of a client's request, with a body of the given text. */
export function requestText(
  options: Readonly<{
    method?: string;
    path: string;
    id: string;
    deadlineMs?: number;
    headers?: readonly string[];
    body?: string;
  }>,
): string {
  const { method = "POST", path, id, deadlineMs = 10_010, body = "{}" } =
    options;
  return [
    `${method} ${path} HTTP/1.1`,
    `Host: ${HOST}`,
    `X-Request-Id: ${id}`,
    `X-Deadline-Ms: ${deadlineMs}`,
    `Authorization: Bearer ${KEY}`,
    ...(options.headers ?? []),
    `Content-Length: ${Buffer.byteLength(body)}`,
    "",
    body,
  ].join("\r\n");
}

/** The platform's store with a configuration of one engine service and one plain service. */
export class Platform {
  readonly store = StoreStandIn.create();
  #version = 0;

  publish(
    change: (config: ReturnType<typeof configOf>) => unknown = (config) =>
      config,
  ): void {
    this.#version += 7;
    this.store.put("keyed.op", "config", change(configOf(this.#version)));
  }

  register(
    id: string,
    options: Readonly<
      { service: string; address: string; slots?: number; born?: number }
    >,
  ): void {
    const { service, address, slots = 11, born = Date.now() } = options;
    this.store.put("keyed.servers", id, {
      service,
      address,
      zone: "tanta-a",
      version: "1",
      slots,
      state: "ready",
      coldRemainingMs: 0,
      sequence: 1,
      born,
    });
  }

  unregister(id: string): void {
    this.store.put("keyed.servers", id);
  }
}

/** Figures of the smallest deployment. */
function configOf(version: number) {
  return {
    version,
    routes: [
      {
        name: "ask",
        hostname: HOST,
        pathPrefix: "/ask/",
        routeType: "streaming",
        service: "assistant-pool",
        timeoutMs: 10_000,
        maxAttempts: 2,
        targetLatencyMs: 300,
        gapAimMs: 250,
        priority: 1,
        resumeStreams: true,
        stickySessions: true,
      },
      {
        name: "lookup",
        hostname: HOST,
        pathPrefix: "/lookup/",
        routeType: "idempotent",
        service: "coop-ledger",
        timeoutMs: 1_500,
        maxAttempts: 2,
        targetLatencyMs: 386,
        priority: 2,
      },
      {
        name: "reserve",
        hostname: HOST,
        pathPrefix: "/reserve/",
        routeType: "non_idempotent",
        service: "coop-ledger",
        timeoutMs: 1_500,
        maxAttempts: 1,
        targetLatencyMs: 386,
        priority: 2,
      },
    ],
    services: [
      {
        name: "assistant-pool",
        healthPath: "/health",
        maxConnections: 616,
        engine: {
          slots: 11,
          kvCapacityTokens: 315_000,
          stride: 51,
          step_ms: 0.85,
          per_seq_ms: 0.00425,
          context_per_k: 0.00285,
          read_per_s: 177_000,
          pairs_per_m: 0.184,
          chunk: 2_048,
          usual: { prompt: 4_960, answer: 1_600 },
        },
      },
      { name: "coop-ledger", healthPath: "/health", maxConnections: 248 },
    ],
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 1 << 20,
      headerTimeoutMs: 5_000,
      idleTimeoutMs: 9_000,
    },
    tenants: [{ name: "hule930", apiKeys: [KEY] }],
  };
}

/** Longest time of a case. */
const MAX_CASE_MS = 115_000;

/** Runs a case and ends the process with its verdict; the record goes into the folder that the first argument names. */
export async function runCase(
  run: (record: Record) => Promise<number>,
): Promise<void> {
  const caseFolder = process.argv[2] ?? ".";
  const record = new Record();
  record.line(`trouble ${TROUBLE ? "on" : "off"}`);
  let code = NOT_RUN;
  setTimeout(() => {
    record.line("the case took too long");
    record.write(caseFolder);
    process.exit(NOT_RUN);
  }, MAX_CASE_MS).unref();
  try {
    code = await run(record);
  } catch (cause) {
    record.line(`the case could not run: ${String(cause)}`);
  }
  record.line(`exit ${code}`);
  record.write(caseFolder);
  process.exit(code);
}
