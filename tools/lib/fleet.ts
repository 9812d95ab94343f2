import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join, resolve } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { DIST, freePort, Program } from "./program.ts";
import { RelayProgram } from "./relay_program.ts";

const POLL_MS = 50;
const WAIT_MS = 60_000;
/** Another process may take a free port first. */
const LISTEN_TRIES = 5;

/** Ends that connections can be broken in front of. */
export type RelayedEnd =
  | "clients"
  | "peers"
  | "engines"
  | "services"
  | "log"
  | "vm_list";

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
  /** Mean length of the engines' answers in tokens; else the stand-in's own. */
  meanAnswerTokens?: number;
  /** Ends in front of which a relay is put. */
  relays?: readonly RelayedEnd[];
  /** Build folder of the daemons; else this one. */
  dist?: string;
}>;

/** One daemon and where it is reached. */
export type DaemonProgram = Readonly<{
  vm: string;
  program: Program;
  clientAddress: string;
  peerAddress: string;
  /** Stand in front of its listeners where the fleet was asked for them. */
  clientRelay?: RelayProgram;
  peerRelay?: RelayProgram;
}>;

/** One upstream and where it is reached. */
export type UpstreamProgram = Readonly<{
  vm: string;
  program: Program;
  address: string;
  incarnation: string;
  relay?: RelayProgram;
}>;

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
  /** Stand between the daemons and the platform where the fleet was asked for them. */
  logRelay: RelayProgram | undefined;
  vmListRelay: RelayProgram | undefined;
  #daemonCount = 0;
  #engineCount = 0;
  #incarnation = 0;

  private constructor(options: FleetOptions) {
    this.options = options;
  }

  static create(options: FleetOptions): Fleet {
    return new Fleet(options);
  }

  /** Starts everything and waits until all programs listen. */
  async start(): Promise<void> {
    const [log, vmList] = await Promise.all([
      this.#standIn("log_service"),
      this.#standIn("vm_list"),
    ]);
    this.logUrl = `http://${log}`;
    this.vmListUrl = `http://${vmList}`;
    this.logRelay = await this.#relay("log", log);
    this.vmListRelay = await this.#relay("vm_list", vmList);
    const { engines, daemons } = this.options;
    await Promise.all([
      this.#addService(),
      ...times(engines, () => this.addEngine()),
      ...times(daemons, () => this.addDaemon()),
    ]);
    this.engines.sort((a, b) => a.vm.localeCompare(b.vm));
    this.daemons.sort((a, b) => a.vm.localeCompare(b.vm));
  }

  /** Starts an engine and puts it on the VM list. */
  async addEngine(): Promise<UpstreamProgram> {
    const { timeScale, loaded, meanAnswerTokens } = this.options;
    this.#engineCount += 1;
    const vm = `engine-${this.#engineCount}`;
    const incarnation = this.#nextIncarnation();
    const args = [
      ...["--loaded", loaded],
      ...["--time-scale", String(timeScale)],
      ...["--incarnation", incarnation],
      "--checks-fencing",
    ];
    if (meanAnswerTokens !== undefined) {
      args.push("--mean-answer-tokens", String(meanAnswerTokens));
    }
    const program = this.#launch("stand_ins/engine/main.js", vm, args);
    const address = await program.address();
    const relay = await this.#relay("engines", address);
    const engine = { vm, program, address, incarnation, relay };
    this.engines.push(engine);
    await this.listEngine(engine, "live");
    return engine;
  }

  /** Writes what the VM list says of an engine. */
  listEngine(
    engine: UpstreamProgram,
    state: "live" | "leaving",
  ): Promise<void> {
    return this.listVm({
      id: engine.vm,
      role: "engine",
      address: engine.relay?.address ?? engine.address,
      group: this.options.group,
      incarnation: engine.incarnation,
      state,
    });
  }

  /** Starts a daemon and puts its VM on the list; once more where a port was taken. */
  async addDaemon(): Promise<DaemonProgram> {
    this.#daemonCount += 1;
    const index = this.#daemonCount;
    for (let tries = 1; tries <= LISTEN_TRIES; tries += 1) {
      const daemon = await this.#startDaemon(index);
      const listens = await daemon.program
        .line((line) => line.includes("listening"))
        .then(() => true, () => false);
      if (!listens) continue;
      this.daemons.push(daemon);
      const { vm: id, peerAddress: address } = daemon;
      const domain = this.#domain(index);
      await this.listVm({ id, role: "entry", address, domain });
      return daemon;
    }
    throw new Error(`Daemon ${index} does not listen`);
  }

  /** Puts a VM on the list; a new incarnation each time that none is named. */
  async listVm(vm: Readonly<Record<string, string>>): Promise<void> {
    const number = Number(vm.id?.split("-").at(-1));
    const body = {
      state: "live",
      domain: this.#domain(number),
      incarnation: vm.incarnation ?? this.#nextIncarnation(),
      ...vm,
    };
    await request(`${this.vmListUrl}/control/vms/${vm.id}`, {
      method: "PUT",
      body,
    });
  }

  /** Takes a VM off the list. */
  async unlistVm(id: string): Promise<void> {
    await request(`${this.vmListUrl}/control/vms/${id}`, { method: "DELETE" });
  }

  /** Ends every process that this fleet has started. */
  async stop(): Promise<void> {
    await Promise.all(this.#programs.map((program) => program.kill()));
    rmSync(this.folder, { recursive: true, force: true });
  }

  async #startDaemon(index: number): Promise<DaemonProgram> {
    const vm = `entry-${index}`;
    const clientAddress = `127.0.0.1:${await this.#clientPort(index)}`;
    const peerListen = `127.0.0.1:${await freePort()}`;
    const clientRelay = await this.#relay("clients", clientAddress);
    const peerRelay = await this.#relay("peers", peerListen);
    const peerAddress = peerRelay?.address ?? peerListen;
    const file = join(this.folder, `${vm}.ini`);
    const domain = this.#domain(index);
    writeFileSync(
      file,
      this.#settings({ vm, domain, clientAddress, peerAddress, peerListen }),
    );
    const program = this.#launch(
      resolve(this.options.dist ?? DIST, "src/daemon/main.js"),
      vm,
      [file],
    );
    return { vm, program, clientAddress, peerAddress, clientRelay, peerRelay };
  }

  async #addService(): Promise<void> {
    const { service } = this.options;
    const program = this.#launch("stand_ins/service/main.js", service, []);
    const address = await program.address();
    const relay = await this.#relay("services", address);
    const incarnation = this.#nextIncarnation();
    const vm = `${service}-1`;
    this.services.push({ vm, program, address, incarnation, relay });
    await this.listVm({
      id: vm,
      role: "service",
      address: relay?.address ?? address,
      service,
      incarnation,
    });
  }

  async #relay(
    end: RelayedEnd,
    target: string,
  ): Promise<RelayProgram | undefined> {
    if (!this.options.relays?.includes(end)) return undefined;
    const relay = await RelayProgram.start(target);
    this.#programs.push(relay.program);
    return relay;
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

  #nextIncarnation(): string {
    this.#incarnation += 1;
    return `run-${this.#incarnation}`;
  }

  async #clientPort(index: number): Promise<number> {
    const { firstPort } = this.options;
    return firstPort === undefined ? await freePort() : firstPort + index - 1;
  }

  #domain(index: number): string {
    const { domains } = this.options;
    return domains[index % domains.length] ?? domains[0] ?? "a";
  }

  #settings(
    daemon: Readonly<{
      vm: string;
      domain: string;
      clientAddress: string;
      peerAddress: string;
      peerListen: string;
    }>,
  ): string {
    const logUrl = relayedUrl(this.logRelay, this.logUrl);
    const vmListUrl = relayedUrl(this.vmListRelay, this.vmListUrl);
    return [
      "[daemon]",
      `vm = ${daemon.vm}`,
      `domain = ${daemon.domain}`,
      `client_address = ${daemon.clientAddress}`,
      `peer_address = ${daemon.peerAddress}`,
      `peer_listen = ${daemon.peerListen}`,
      "[platform]",
      `log_url = ${logUrl}`,
      `vm_list_url = ${vmListUrl}`,
      "",
    ].join("\n");
  }
}

function relayedUrl(relay: RelayProgram | undefined, url: string): string {
  return relay === undefined ? url : `http://${relay.address}`;
}

function times<Value>(count: number, create: () => Value): Value[] {
  return Array.from({ length: count }, create);
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
