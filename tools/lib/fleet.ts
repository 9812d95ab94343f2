import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { freePort, Program } from "./program.ts";

const POLL_MS = 50;
const WAIT_MS = 60_000;

/** What a fleet consists of. */
export type FleetOptions = Readonly<{
  daemons: number;
  engines: number;
  /** How many times faster than the model the engines run. */
  timeScale: number;
  /** What engines have loaded, as `model/version:adapter,...`. */
  loaded: string;
  group: string;
  service: string;
  domains: readonly string[];
  /** Client port of the first daemon, the next one's is one higher; else free ports. */
  firstPort?: number;
}>;

/** One daemon and where it is reached. */
export type DaemonProgram = Readonly<{
  vm: string;
  program: Program;
  clientAddress: string;
  peerAddress: string;
}>;

/** One upstream and where it is reached. */
export type UpstreamProgram = Readonly<
  { vm: string; program: Program; address: string }
>;

/** Platform, upstreams and daemons, each a process of its own on loopback. */
export class Fleet {
  readonly options: FleetOptions;
  readonly folder = mkdtempSync(join(tmpdir(), "parsleyfield-"));
  readonly daemons: DaemonProgram[] = [];
  readonly engines: UpstreamProgram[] = [];
  readonly services: UpstreamProgram[] = [];
  readonly #programs: Program[] = [];
  logUrl = "";
  vmListUrl = "";
  #incarnation = 0;

  private constructor(options: FleetOptions) {
    this.options = options;
  }

  static create(options: FleetOptions): Fleet {
    return new Fleet(options);
  }

  /** Starts everything and waits until all daemons have found the upstreams. */
  async start(): Promise<void> {
    this.logUrl = `http://${await this.#standIn("log_service")}`;
    this.vmListUrl = `http://${await this.#standIn("vm_list")}`;
    for (let index = 0; index < this.options.engines; index += 1) {
      await this.addEngine();
    }
    await this.#addService();
    for (let index = 0; index < this.options.daemons; index += 1) {
      await this.addDaemon();
    }
  }

  /** Starts an engine and puts it on the VM list. */
  async addEngine(): Promise<UpstreamProgram> {
    const { timeScale, loaded, group } = this.options;
    const vm = `engine-${this.engines.length + 1}`;
    const args = [
      "--loaded",
      loaded,
      "--time-scale",
      String(timeScale),
      "--checks-fencing",
    ];
    const program = this.#launch("stand_ins/engine/main.js", vm, args);
    const engine = { vm, program, address: await program.address() };
    this.engines.push(engine);
    await this.listVm({
      id: vm,
      role: "engine",
      address: engine.address,
      group,
    });
    return engine;
  }

  /** Starts a daemon and puts its VM on the list. */
  async addDaemon(): Promise<DaemonProgram> {
    const vm = `entry-${this.daemons.length + 1}`;
    const clientAddress = `127.0.0.1:${await this.#clientPort()}`;
    const peerAddress = `127.0.0.1:${await freePort()}`;
    const file = join(this.folder, `${vm}.ini`);
    writeFileSync(file, this.#settings({ vm, clientAddress, peerAddress }));
    const program = this.#launch("src/daemon/main.js", vm, [file]);
    const daemon = { vm, program, clientAddress, peerAddress };
    this.daemons.push(daemon);
    await this.listVm({ id: vm, role: "entry", address: peerAddress });
    await program.line((line) => line.includes("listening"));
    return daemon;
  }

  /** Puts a VM on the list; a new incarnation each time. */
  async listVm(vm: Readonly<Record<string, string>>): Promise<void> {
    this.#incarnation += 1;
    const domain = this.#domain(this.#incarnation);
    const body = {
      state: "live",
      domain,
      incarnation: `run-${this.#incarnation}`,
      ...vm,
    };
    await request(`${this.vmListUrl}/control/vms/${vm.id}`, {
      method: "PUT",
      body,
    });
  }

  /** Ends every process that this fleet has started. */
  async stop(): Promise<void> {
    await Promise.all(this.#programs.map((program) => program.kill()));
    rmSync(this.folder, { recursive: true, force: true });
  }

  async #addService(): Promise<void> {
    const { service } = this.options;
    const program = this.#launch("stand_ins/service/main.js", service, []);
    const upstream = {
      vm: `${service}-1`,
      program,
      address: await program.address(),
    };
    this.services.push(upstream);
    await this.listVm({
      id: upstream.vm,
      role: "service",
      address: upstream.address,
      service,
    });
  }

  #standIn(name: string): Promise<string> {
    return this.#launch(`stand_ins/${name}/main.js`, name, []).address();
  }

  #launch(path: string, name: string, args: readonly string[]): Program {
    const logFile = join(this.folder, `${name}.log`);
    const program = Program.create(path, { args, logFile });
    this.#programs.push(program);
    return program;
  }

  async #clientPort(): Promise<number> {
    const { firstPort } = this.options;
    return firstPort === undefined
      ? await freePort()
      : firstPort + this.daemons.length;
  }

  #domain(index: number): string {
    const { domains } = this.options;
    return domains[index % domains.length] ?? "a";
  }

  #settings(
    daemon: { vm: string; clientAddress: string; peerAddress: string },
  ): string {
    return [
      "[daemon]",
      `vm = ${daemon.vm}`,
      `domain = ${this.#domain(this.daemons.length)}`,
      `client_address = ${daemon.clientAddress}`,
      `peer_address = ${daemon.peerAddress}`,
      "[platform]",
      `log_url = ${this.logUrl}`,
      `vm_list_url = ${this.vmListUrl}`,
      "",
    ].join("\n");
  }
}

/** Sends one JSON request and returns the parsed answer, whatever its status. */
export async function request(
  url: string,
  options: Readonly<
    { method?: string; body?: unknown; headers?: Record<string, string> }
  > = {},
): Promise<Readonly<{ status: number; headers: Headers; body: unknown }>> {
  const { method = "GET", body, headers = {} } = options;
  const init: RequestInit = {
    method,
    headers: { ...headers, connection: "close" },
  };
  if (body !== undefined) {
    init.body = JSON.stringify(body);
    init.headers = { ...headers, "content-type": "application/json" };
  }
  const res = await fetch(url, init);
  const text = await res.text();
  return { status: res.status, headers: res.headers, body: parse(text) };
}

function parse(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return text;
  }
}

/** Waits for a condition, not for a time; gives up after a minute. */
export async function until(
  what: string,
  holds: () => Promise<boolean>,
): Promise<void> {
  const deadline = Date.now() + WAIT_MS;
  while (Date.now() < deadline) {
    if (await holds().catch(() => false)) return;
    await sleep(POLL_MS);
  }
  throw new Error(`This did not come about: ${what}`);
}
