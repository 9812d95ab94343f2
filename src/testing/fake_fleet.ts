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
import type { Problem } from "../core/problem.ts";
import { Random } from "../core/random.ts";
import type { CallRequest } from "../core/request.ts";
import { addMs, type Millis, type Timestamp } from "../core/time.ts";
import { CONFIG_STREAM } from "../fold/streams.ts";
import type { Vm } from "../wire/vm_list.ts";
import { FakeDaemon } from "./fake_daemon.ts";
import { FakeLog } from "./fake_log.ts";
import { FakeService } from "./fake_service.ts";
import { VirtualTime } from "./virtual_time.ts";

const START = 1_800_000_000_000 as Timestamp;
const KEY_SECRET = "a secret of the tests";

/** The final answer that a client got. */
export type Answer =
  | Readonly<{ type: "answer"; problem: Problem }>
  | Readonly<{ type: "answer_recorded"; status: number; body: string }>
  | Readonly<{ type: "passed_on" }>;

/** How a fleet is set up. */
export type FleetOptions = Readonly<{
  seed: number;
  daemons: number;
  retentionMs: Millis;
  /** The configuration, as JSON. */
  config: string;
}>;

/** A few cores with one log and one service under virtual time. */
export class FakeFleet {
  readonly time = VirtualTime.create(START);
  readonly log: FakeLog;
  readonly service: FakeService;
  readonly requests = new Map<RequestId, CallRequest>();
  readonly answers = new Map<RequestId, Answer[]>();
  /** Daemons by VM; a killed one is replaced under a new id. */
  readonly daemons: FakeDaemon[] = [];
  readonly #random: Random;
  readonly #cut = new Set<string>();
  #started = 0;
  #published = 0;

  private constructor(options: FleetOptions) {
    this.#random = Random.create(options.seed);
    this.log = FakeLog.create(this.time, this.#random, options);
    this.service = FakeService.create(this.time, this.#random);
    this.publish(-1 as Revision, options.config);
    for (let vm = 0; vm < options.daemons; vm += 1) this.start(vm);
  }

  static create(options: FleetOptions): FakeFleet {
    return new FakeFleet(options);
  }

  /** Starts a new daemon on a VM. */
  start(vm: number): void {
    this.#started += 1;
    const self = {
      id: `d${this.#started}` as DaemonId,
      vm: `vm${vm}` as VmId,
      domain: "a" as DomainId,
      clientAddress: `client${vm}`,
      peerAddress: `peer${vm}`,
      startedAt: this.time.now,
    };
    const core = createCore(self, Random.create(this.#started), {
      createSecret: () => KEY_SECRET,
    });
    const daemon = FakeDaemon.create(core, this.time, {
      execute: (from, intent) => this.#execute(from, intent),
    });
    this.daemons[vm] = daemon;
    daemon.deliver({ type: "vms_listed", vms: VMS });
  }

  /** Kills a VM's daemon; a new one starts after `downMs`. */
  kill(vm: number, downMs: Millis): void {
    this.daemons[vm]?.kill();
    this.time.after(downMs, () => this.start(vm));
  }

  /** Cuts a VM off from its peers for a while. */
  cutOff(vm: number, ms: Millis): void {
    const address = `peer${vm}`;
    this.#cut.add(address);
    this.time.after(ms, () => this.#cut.delete(address));
  }

  /** Publishes a configuration against a base, as the operators' tool does. */
  publish(base: Revision, text: string, id?: string): Offset {
    this.#published += 1;
    const name = id ?? `change${this.#published}`;
    const record = {
      type: "config_change",
      id: name,
      change: name,
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
        return this.log.read(intent.stream, intent.from, deliver);
      case "send_peer":
        return this.#send(daemon, intent);
      case "start_attempt": {
        const req = this.requests.get(intent.req);
        if (req !== undefined) this.service.call(daemon, intent, req);
        return;
      }
      case "answer":
      case "answer_recorded": {
        const answers = this.answers.get(intent.req) ?? [];
        this.answers.set(intent.req, [...answers, intent]);
      }
    }
  }

  #send(
    daemon: FakeDaemon,
    intent: Extract<Intent, { type: "send_peer" }>,
  ): void {
    const own = daemon.core.board.self.peerAddress;
    if (this.#cut.has(own) || this.#cut.has(intent.address)) return;
    const { envelope } = intent;
    this.time.after(1 + this.#random.below(5), () => {
      const peer = this.daemons.find((one) =>
        one.core.board.self.peerAddress === intent.address
      );
      peer?.deliver({ type: "peer_message", envelope });
    });
  }
}

const VMS = [
  ...[0, 1, 2, 3].map((vm) => ({
    id: `vm${vm}`,
    role: "entry",
    domain: "a",
    address: `peer${vm}`,
    incarnation: "1",
    state: "live",
  })),
  {
    id: "stock-0",
    role: "service",
    service: "stock",
    domain: "a",
    address: "stock",
    incarnation: "1",
    state: "live",
  },
] as unknown as readonly Vm[];
