import { Buffer } from "node:buffer";
import { createHash } from "node:crypto";
import type {
  ClassId,
  Digest,
  IdempotencyKey,
  RequestId,
  ServiceId,
  TeamId,
} from "../../src/core/id.ts";
import { addMs, type Millis } from "../../src/core/time.ts";
import { CONFIG_STREAM } from "../../src/fold/streams.ts";
import { BLOCK_TOKENS } from "../../src/wire/engine.ts";
import { CallClient, type ClientRequest, PromptClient } from "./client.ts";
import type { DaemonProcess } from "./daemon_process.ts";
import { hasPoisonBlock, POISON_BLOCK } from "./fake_engine.ts";
import { promptBody } from "./fake_engine_client.ts";
import { callBody } from "./fake_service.ts";
import type { Fleet } from "./fleet.ts";
import type { Action } from "./schedule.ts";
import { serviceId } from "./fleet.ts";
import { MODEL, servingBy } from "./serving.ts";

const DEADLINE_MS: Millis = 10_000;
const MAX_TOKENS = 100;
const NOTICE_MS: Millis = 500;
const MAX_RESENDS = 3;
const POISON_TOKENS = 600;

/** Plays the clients, the operators and the faults of a schedule. */
export class Player {
  readonly #fleet: Fleet;
  readonly #keys = new Map<number, IdempotencyKey>();
  #requests = 0;
  #configs = 0;

  private constructor(fleet: Fleet) {
    this.#fleet = fleet;
  }

  static create(fleet: Fleet): Player {
    return new Player(fleet);
  }

  play(action: Action): void {
    const fleet = this.#fleet;
    const { waitMs: _, ...shown } = action;
    fleet.trace.add("schedule", JSON.stringify(shown));
    if (DISTURBING.includes(action.type)) fleet.facts.isDisturbed = true;
    switch (action.type) {
      case "prompt":
        for (let i = 0; i < action.count; i += 1) this.#prompts(action);
        return;
      case "poison":
        return this.#poison(action.daemon, action.content, MAX_RESENDS);
      case "poison_block":
        return this.#poisonBlock(action.daemon, action.count);
      case "call":
        for (const vm of action.daemons) this.#reserve(vm, action);
        return;
      case "read":
        return void this.read(action.daemon);
      case "kill":
        return fleet.kill(action.daemon, action.downMs);
      case "pause": {
        const { beforeSend } = action;
        return fleet.daemons[action.daemon]?.pause(action.ms, { beforeSend });
      }
      case "cut":
        return this.#cut(action.daemon, action.ms);
      case "drain": {
        const daemon = fleet.daemons[action.daemon];
        return daemon?.receive(() => daemon.post({ type: "drain_requested" }));
      }
      case "peers":
        fleet.network.fault = action.fault;
        return fleet.timeline.after(
          action.ms,
          () => fleet.network.fault = undefined,
        );
      case "log":
        fleet.log.fault = action.fault;
        return fleet.timeline.after(
          action.ms,
          () => fleet.log.fault = undefined,
        );
      case "expire":
        return this.#expire();
      case "late_list":
        fleet.isListLate = true;
        return fleet.timeline.after(action.ms, () => fleet.isListLate = false);
      case "crash":
        return fleet.crash(fleet.engines[action.engine]!, action.downMs);
      case "freeze":
        return fleet.engines[action.engine]!.freeze(action.ms);
      case "leave":
        return fleet.leave(fleet.engines[action.engine]!);
      case "stream": {
        const { fault, at, engine } = action;
        const { id } = fleet.engines[engine]!;
        return void fleet.streamFaults.set(id, { fault, at });
      }
      case "service":
        return void fleet.callFaults.set(
          serviceId(action.service),
          action.fault,
        );
      case "configure":
        return this.#configure(action);
    }
  }

  /** Sends one prompt; its client follows the answer to another daemon if it has to. */
  prompt(
    vm: number,
    options: Readonly<{ content: Digest; promptTokens: number }>,
  ): PromptClient | undefined {
    const daemon = this.#fleet.nearest(vm);
    if (daemon === undefined) return undefined;
    const id = this.#nextId("prompt");
    const tell = (what: string) => this.#fleet.trace.add(id, what);
    const client = PromptClient.create({ id, daemon, tell, ...options });
    this.#fleet.facts.clients.push(client);
    tell(`asks ${daemon.id} for ${options.content}`);
    client.onLost = () => this.#follow(client);
    const prompt = promptBody(options.content, options.promptTokens);
    daemon.receive(() => {
      const req = this.#promptRequest(client);
      client.deadlineAt = req.deadlineAt;
      const { writer } = client;
      const exchange = {
        req,
        prompt,
        writer,
        resumedAfter: 0,
        relayedTokens: [],
      };
      daemon.exchanges.set(id, { kind: "prompt", ...exchange });
      daemon.post({ type: "request_arrived", req });
    });
    return client;
  }

  /** Sends one call that may be repeated. */
  read(vm: number): CallClient | undefined {
    const id = this.#nextId("read");
    const body = callBody(id, `read ${id}`);
    return this.#call(vm, { id, body, method: "GET", path: "/stock" });
  }

  #prompts(action: Extract<Action, { type: "prompt" }>): void {
    const content = `text-${this.#requests}` as Digest;
    const client = this.prompt(action.daemon, {
      content,
      promptTokens: action.tokens,
    });
    if (client === undefined || action.leavesAfterMs === 0) return;
    this.#fleet.timeline.after(
      action.leavesAfterMs,
      () => this.#hangUp(client),
    );
  }

  /** The client goes away, as its closed connection tells the daemon. */
  #hangUp(client: PromptClient): void {
    const { daemon, id } = client;
    if (!client.isOpen) return;
    client.isAbandoned = true;
    this.#fleet.trace.add(id, "goes away");
    daemon.receive(() => {
      const exchange = daemon.exchanges.get(id);
      daemon.exchanges.delete(id);
      if (exchange?.kind !== "prompt") return;
      daemon.runner.cancelExchange(exchange);
      daemon.post({ type: "client_left", req: id });
    });
  }

  /** Sends a prompt that crashes engines, and again when it has failed. */
  #poison(vm: number, content: number, resends: number): void {
    const client = this.prompt(vm, {
      content: `poison-${content}` as Digest,
      promptTokens: POISON_TOKENS,
    });
    if (client === undefined || resends === 0) return;
    this.#fleet.timeline.after(NOTICE_MS, () => {
      this.#poison(vm + 1, content, resends - 1);
    });
  }

  /** Sends prompts that differ and share a block that crashes engines, to one daemon after the other. */
  #poisonBlock(vm: number, count: number): void {
    const content = `${POISON_BLOCK}-${this.#requests}` as Digest;
    this.prompt(vm, { content, promptTokens: POISON_TOKENS });
    if (count <= 1) return;
    this.#fleet.timeline.after(NOTICE_MS, () => {
      this.#poisonBlock(vm + 1, count - 1);
    });
  }

  #reserve(vm: number, action: Extract<Action, { type: "call" }>): void {
    const { timeline, random } = this.#fleet;
    const key = this.#keys.get(action.key) ??
      random.uuid(timeline.now) as IdempotencyKey;
    this.#keys.set(action.key, key);
    const id = this.#nextId("call");
    const content = `reserve ${action.key} ${action.body}`;
    const body = callBody(id, content);
    this.#call(vm, { id, body, key, method: "POST", path: "/reservations" });
  }

  #call(
    vm: number,
    options: Readonly<{
      id: RequestId;
      body: string;
      method: string;
      path: string;
      key?: IdempotencyKey;
    }>,
  ): CallClient | undefined {
    const { id, body, method, path, key } = options;
    const { timeline, facts, trace } = this.#fleet;
    const daemon = this.#fleet.nearest(vm);
    if (daemon === undefined) return undefined;
    const tell = (what: string) => trace.add(id, what);
    const client = CallClient.create({ id, daemon, tell, key, body });
    facts.clients.push(client);
    tell(`calls ${daemon.id} with ${body.split("\n")[1]} ${key ?? ""}`);
    daemon.receive(() => {
      const arrivedAt = timeline.now;
      const deadlineAt = addMs(arrivedAt, DEADLINE_MS);
      client.deadlineAt = deadlineAt;
      const req = {
        kind: "call" as const,
        id,
        ...SENDER,
        arrivedAt,
        deadlineAt,
        digest: body.split("\n")[1] as Digest,
        service: "stock" as ServiceId,
        method,
        path,
        key,
      };
      daemon.exchanges.set(id, {
        kind: "call",
        req,
        body: Buffer.from(body),
        finish: (answer, verdict) => client.takeAnswer(answer, verdict),
        fail: (err) => client.takeProblem(err),
      });
      daemon.post({ type: "request_arrived", req });
    });
    return client;
  }

  /** The client of a dead daemon fetches the rest of its answer from another one. */
  #follow(client: PromptClient): void {
    const { timeline, trace, random } = this.#fleet;
    const { resume, id } = client;
    if (resume === undefined) return;
    timeline.after(NOTICE_MS, () => {
      const daemon = this.#fleet.nearest(random.below(3));
      if (daemon === undefined || client.finals.length > 0) return;
      trace.add(id, `resumes at ${daemon.id} after ${client.tokens} tokens`);
      client.daemon = daemon;
      client.isAbandoned = false;
      daemon.receive(() => this.#resume(client, daemon));
    });
  }

  #resume(client: PromptClient, daemon: DaemonProcess): void {
    const { attempt, upstream, ranUnder } = client.resume!;
    const { id, writer, tokens } = client;
    const deadlineAt = client.deadlineAt!;
    const req = {
      ...this.#promptRequest(client),
      deadlineAt,
      digest: `resumed/${id}` as Digest,
    };
    daemon.exchanges.set(id, {
      kind: "prompt",
      req,
      writer,
      resumedAfter: tokens,
      relayedTokens: [],
    });
    const running = { attempt, upstream, ranUnder, tokens };
    daemon.post({ type: "request_resumed", req, running });
  }

  #promptRequest(client: PromptClient) {
    const arrivedAt = this.#fleet.timeline.now;
    return {
      kind: "prompt" as const,
      id: client.id,
      ...SENDER,
      arrivedAt,
      deadlineAt: addMs(arrivedAt, DEADLINE_MS),
      digest: client.content,
      model: MODEL,
      promptTokens: client.promptTokens,
      maxTokens: MAX_TOKENS,
      blocks: blocksOf(client),
    };
  }

  #cut(vm: number, ms: Millis): void {
    const { network, timeline, trace } = this.#fleet;
    const address = `vm${vm}:2`;
    network.cut.add(address);
    timeline.after(ms, () => {
      network.cut.delete(address);
      trace.add(`vm${vm}`, "is connected again");
    });
  }

  /** The log drops what is old, but nothing that its retention must keep. */
  #expire(): void {
    const { log, timeline } = this.#fleet;
    if (log.fault !== undefined) return;
    log.expireBefore(CONFIG_STREAM, addMs(timeline.now, -KEPT_MS));
  }

  #configure(action: Extract<Action, { type: "configure" }>): void {
    for (let i = 0; i < action.operators; i += 1) {
      this.#configs += 1;
      const text = JSON.stringify(servingBy(this.#configs));
      void this.#fleet.operators.apply(text);
    }
  }

  #nextId(kind: string): RequestId {
    this.#requests += 1;
    return `${kind}-${this.#requests}` as RequestId;
  }
}

/** What keeps daemons from hearing of each other. */
const DISTURBING: readonly Action["type"][] = ["kill", "pause", "cut", "peers"];
const KEPT_MS: Millis = 40_000;
const SENDER = { team: "makers" as TeamId, classId: "quick" as ClassId };

/** Equal prompts have equal blocks, as the digests of their text would be; a shared block comes first. */
function blocksOf({ content, promptTokens }: PromptClient): readonly Digest[] {
  const count = Math.floor(promptTokens / BLOCK_TOKENS);
  return Array.from({ length: count }, (_, index) => {
    const isShared = index === 0 && hasPoisonBlock(content);
    const text = isShared ? POISON_BLOCK : `${content} ${index}`;
    return createHash("sha1").update(text).digest("hex") as Digest;
  });
}

/** Whether a request may still get an answer from a daemon that is there. */
export function isWaiting(client: ClientRequest): boolean {
  return client.isOpen && client.daemon.isAlive;
}
