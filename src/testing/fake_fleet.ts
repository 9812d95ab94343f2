import { createCore } from "../controllers/create_core.ts";
import type {
  DaemonId,
  DomainId,
  Offset,
  RequestId,
  Revision,
  VmId,
} from "../core/id.ts";
import type { Intent } from "../core/intent.ts";
import { Random } from "../core/random.ts";
import type { CallRequest } from "../core/request.ts";
import { addMs, type Millis, type Timestamp } from "../core/time.ts";
import { CONFIG_STREAM } from "../fold/streams.ts";
import type { Vm } from "../wire/vm_list.ts";
import type { FakeEngine } from "./fake_engine.ts";
import { FakeDaemon } from "./fake_daemon.ts";
import { FakeLog } from "./fake_log.ts";
import { FakeService, type ServiceMode } from "./fake_service.ts";
import { VirtualTime } from "./virtual_time.ts";

const START = 1_800_000_000_000 as Timestamp;
const FORWARD_TIMEOUT_MS: Millis = 6_000;
const REPORT_INTERVAL_MS: Millis = 500;

/** Final answer to a request that no attempt produced. */
export type Answer = Extract<Intent, { type: "answer" | "answer_recorded" }>;

/** How a fleet is set up. */
export type FleetOptions = Readonly<{
  seed: number;
  daemons: number;
  retentionMs: Millis;
  /** The configuration, as JSON. */
  config: string;
  serviceMode?: ServiceMode;
  engines?: readonly FakeEngine[];
}>;

/** Daemon cores that share one log and one service, under virtual time. */
export class FakeFleet {
  readonly time = VirtualTime.create(START);
  readonly log: FakeLog;
  readonly service: FakeService;
  readonly requests = new Map<RequestId, CallRequest>();
  readonly answers = new Map<RequestId, Answer[]>();
  /** Daemons by VM index; a killed daemon is replaced by one with a new id. */
  readonly daemons: FakeDaemon[] = [];
  readonly #random: Random;
  readonly #engines: readonly FakeEngine[];
  readonly #vmCount: number;
  /** Peer addresses that are cut off from the network. */
  readonly #cut = new Set<string>();
  /** Callbacks that report a forwarded call as answered, by the request id at the daemon that answers it. */
  readonly #forwardEnds = new Map<RequestId, () => void>();
  #startCount = 0;
  #publishCount = 0;

  private constructor(options: FleetOptions) {
    this.#random = Random.create(options.seed);
    this.log = FakeLog.create(this.time, this.#random, options);
    this.service = FakeService.create(
      this.time,
      this.#random,
      options.serviceMode,
    );
    this.#vmCount = options.daemons;
    this.#engines = options.engines ?? [];
    this.publish(-1 as Revision, options.config);
    for (let vm = 0; vm < options.daemons; vm += 1) this.start(vm);
  }

  static create(options: FleetOptions): FakeFleet {
    return new FakeFleet(options);
  }

  /** Starts a new daemon on a VM. */
  start(vm: number): void {
    this.#startCount += 1;
    const self = {
      id: `d${this.#startCount}` as DaemonId,
      vm: `vm${vm}` as VmId,
      domain: "a" as DomainId,
      clientAddress: `client${vm}`,
      peerAddress: `peer${vm}`,
      startedAt: this.time.now,
    };
    const core = createCore(self, Random.create(this.#startCount), {
      createSecret: () => `the secret of ${self.id}, which no other has`,
    });
    const daemon = FakeDaemon.create(core, this.time, {
      execute: (from, intent) => this.#execute(from, intent),
    });
    this.daemons[vm] = daemon;
    const vms = [
      ...Array.from({ length: this.#vmCount }, (_, index) => entryVm(index)),
      SERVICE_VM,
      ...this.#engines.map((engine) => engine.vm),
    ];
    daemon.deliver({ type: "vms_listed", vms });
    this.#report(daemon);
  }

  #report(daemon: FakeDaemon): void {
    if (!daemon.alive || this.#engines.length === 0) return;
    for (const engine of this.#engines) {
      const state = engine.state(this.time.now);
      daemon.deliver({ type: "state_reported", upstream: engine.id, state });
    }
    this.time.schedule(REPORT_INTERVAL_MS, () => this.#report(daemon));
  }

  /** Delivers an order after the engine's delay, or after 1 ms if the engine is unknown. */
  #sendOrder(
    daemon: FakeDaemon,
    intent: Extract<Intent, { type: "send_order" }>,
  ): void {
    const { upstream, order } = intent;
    const engine = this.#engines.find((candidate) => candidate.id === upstream);
    this.time.schedule(engine?.takeDelay() ?? 1, () => {
      const result = engine?.order(order, this.time.now) ?? "unknown";
      daemon.deliver({ type: "order_ended", upstream, result });
    });
  }

  /** Kills a VM's daemon; a new one starts after `downMs`. */
  kill(vm: number, downMs: Millis): void {
    this.daemons[vm]?.kill();
    this.time.schedule(downMs, () => this.start(vm));
  }

  /** Cuts a VM off from its peers for `ms`. */
  cutOff(vm: number, ms: Millis): void {
    const address = `peer${vm}`;
    this.#cut.add(address);
    this.time.schedule(ms, () => this.#cut.delete(address));
  }

  /** Appends a configuration change that is based on revision `base`, as the operators' tool does. */
  publish(base: Revision, text: string, id?: string): Offset {
    this.#publishCount += 1;
    const changeId = id ?? `change${this.#publishCount}`;
    const record = {
      type: "config_change",
      id: changeId,
      change: changeId,
      base,
      author: "operator",
      at: this.time.now,
      text,
    };
    return this.log.put(CONFIG_STREAM, [JSON.stringify(record)]);
  }

  /** Sends a call to a VM's daemon. */
  call(vm: number, call: Omit<CallRequest, "arrivedAt" | "deadlineAt">): void {
    const daemon = this.daemons[vm];
    if (daemon === undefined || !daemon.alive) return;
    const arrivedAt = this.time.now;
    const deadlineAt = addMs(arrivedAt, 5_000);
    const req = { ...call, arrivedAt, deadlineAt };
    this.requests.set(req.id, req);
    daemon.deliver({ type: "request_arrived", req });
  }

  #execute(daemon: FakeDaemon, intent: Intent): void {
    const deliver = daemon.deliver.bind(daemon);
    switch (intent.type) {
      case "append":
        return this.log.append(intent.stream, intent.records, deliver);
      case "read_log":
        return this.log.read(intent, deliver);
      case "send_peer":
        return this.#sendToPeer(daemon, intent);
      case "start_attempt": {
        const req = this.requests.get(intent.req);
        if (req === undefined) return;
        return this.service.call(intent, req, (event) => {
          daemon.deliver(event);
          if (event.outcome.type === "ok") this.#forwardEnds.get(req.id)?.();
        });
      }
      case "answer":
      case "answer_recorded": {
        const answers = this.answers.get(intent.req) ?? [];
        this.answers.set(intent.req, [...answers, intent]);
        return this.#forwardEnds.get(intent.req)?.();
      }
      case "send_order":
        return this.#sendOrder(daemon, intent);
      case "forward_call":
        return this.#forward(daemon, intent);
    }
  }

  #forward(
    daemon: FakeDaemon,
    intent: Extract<Intent, { type: "forward_call" }>,
  ): void {
    const req = this.requests.get(intent.req);
    const home = this.#daemonAt(intent.address);
    if (req === undefined) return;
    const endForward = (result: "answered" | "failed") =>
      daemon.deliver({ type: "forward_ended", req: req.id, result });
    this.time.schedule(FORWARD_TIMEOUT_MS, () => endForward("failed"));
    if (home === undefined || this.#cut.has(intent.address)) return;
    const id = `${req.id}-forwarded` as RequestId;
    const forwarded = { ...req, id, forwarded: true as const };
    this.requests.set(id, forwarded);
    this.#forwardEnds.set(id, () => endForward("answered"));
    home.deliver({ type: "request_arrived", req: forwarded });
  }

  #daemonAt(address: string): FakeDaemon | undefined {
    return this.daemons.find((daemon) =>
      daemon.core.board.self.peerAddress === address
    );
  }

  #sendToPeer(
    daemon: FakeDaemon,
    intent: Extract<Intent, { type: "send_peer" }>,
  ): void {
    const own = daemon.core.board.self.peerAddress;
    if (this.#cut.has(own) || this.#cut.has(intent.address)) return;
    const { envelope } = intent;
    this.time.schedule(1 + this.#random.below(5), () => {
      const peer = this.#daemonAt(intent.address);
      peer?.deliver({ type: "peer_message", envelope });
    });
  }
}

function entryVm(vm: number): Vm {
  return {
    id: `vm${vm}`,
    role: "entry",
    domain: "a",
    address: `peer${vm}`,
    incarnation: "1",
    state: "live",
  } as unknown as Vm;
}

const SERVICE_VM = {
  id: "stock-0",
  role: "service",
  service: "stock",
  domain: "a",
  address: "stock",
  incarnation: "1",
  state: "live",
} as unknown as Vm;
