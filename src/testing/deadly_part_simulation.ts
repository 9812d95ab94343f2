import type { PromptPartId, UpstreamId } from "../core/id.ts";
import { Random } from "../core/random.ts";
import type { Millis, Timestamp } from "../core/time.ts";
import type { ContentReport } from "../gateway/contents/content_report.ts";
import type { JobId } from "../scheduling/pool/pool_job.ts";
import { type FakeGateway, FakeGatewayFleet } from "./fake_gateway_fleet.ts";
import { ReplyCursor } from "./reply_cursor.ts";
import { emptyServing, upstreamEntry } from "./gateway_values.ts";
import { placementRequest } from "./pool_fixtures.ts";

const SETTLE_MS: Millis = 6_000;
const STEP_MS: Millis = 5;
const NETWORK_DELAY_MS: Millis = 1;
/** Time from the arrival of a request at an upstream to its first token, and to the end of its answer. */
const FIRST_TOKEN_MS: Millis = 60;
const ANSWER_MS: Millis = 900;
/** Time after which a silent upstream is given up. */
const SILENCE_MS: Millis = 1_200;
/** Time until a crashed upstream's entry is removed: three missed heartbeats. */
const ENTRY_EXPIRY_MS: Millis = 3_600;
/** Time until a crashed upstream is replaced under another id. */
const RESTART_DELAY_MS: Millis = 3_000;
const LEFT_MS: Millis = 10_000;
const MAX_ATTEMPTS = 2;
const DEADLY_PLACE = 0.9;
/** Number of first parts; each is used half as often as the one before it, down to some that are used rarely. */
const FIRST_PARTS = 40;
/** `stableWindowMs` of the users' platform. */
const STABLE_WINDOW_MS: Millis = 3_000;
/** Crashes after which requests with a deadly part are counted. */
const COUNTED_CRASHES = 5;

/** Size, load and seed of a simulation. */
export type DeadlyPartSimulationOptions = Readonly<{
  daemons: number;
  upstreams: number;
  seed: number;
  /** Sound requests per second, over all daemons. */
  soundRate: number;
  /** Requests per second with a deadly part, over all daemons. */
  deadlyRate: number;
  /** Parts that crash each upstream that begins to write an answer on them. */
  deadlyParts: readonly string[];
  /** Whether crashed upstreams fall silent rather than break their connections. */
  dark?: boolean;
  /** Parts that all prompts share beside their first part; a deadly part stands among them. */
  commonParts?: number;
  /** Share of the common parts that stand before a deadly one. */
  deadlyPlace?: number;
}>;

type SimulatedRequest = Readonly<{
  gateway: FakeGateway;
  parts: readonly PromptPartId[];
  digest: string;
  attempt: number;
  sentAt: Timestamp;
}>;

type SentRequest = {
  at: Timestamp;
  first: string;
  isSound: boolean;
  began: boolean;
};

/**
 * Clients of one team that send prompts to random daemons. All prompts share their first parts; some have a deadly
 * part in their middle, which crashes the upstream with all that it is running.
 */
export class DeadlyPartSimulation {
  readonly fleet: FakeGatewayFleet;
  readonly #options: DeadlyPartSimulationOptions;
  readonly #random: Random;
  readonly #requests = new Map<JobId, SimulatedRequest>();
  readonly #aboard = new Map<UpstreamId, Set<JobId>>();
  readonly #crashedAt = new Map<string, Timestamp[]>();
  readonly #reachedAt = new Map<string, Timestamp[]>();
  readonly #arrivedAt = new Map<JobId, Timestamp>();
  readonly #sent: SentRequest[] = [];
  readonly #replies = ReplyCursor.create();
  readonly #deadly: Set<string>;
  /** Parts of all prompts before the place of a deadly part, and behind it. */
  readonly #common: readonly [readonly string[], readonly string[]];
  /** Whether requests with a deadly part are sent. */
  sendsDeadly = true;
  #started = 0;
  #nextSoundAt = 0;
  #nextDeadlyAt = 0;

  private constructor(options: DeadlyPartSimulationOptions) {
    this.#options = options;
    this.#random = Random.create(options.seed);
    this.#deadly = new Set(options.deadlyParts);
    const common = Array.from(
      { length: options.commonParts ?? 0 },
      (_, i) => `common-${i}`,
    );
    const before = Math.ceil(
      common.length * (options.deadlyPlace ?? DEADLY_PLACE),
    );
    this.#common = [common.slice(0, before), common.slice(before)];
    this.fleet = FakeGatewayFleet.create(options.daemons);
    this.fleet.publish(emptyServing(1));
    for (let i = 0; i < options.upstreams; i += 1) this.#startUpstream();
    this.fleet.time.run(SETTLE_MS);
    this.#nextSoundAt = this.fleet.time.now;
    this.#nextDeadlyAt = this.fleet.time.now;
  }

  static create(options: DeadlyPartSimulationOptions): DeadlyPartSimulation {
    return new DeadlyPartSimulation(options);
  }

  get leader(): FakeGateway {
    const { leader } = this.fleet.gateways[0]!.core.board.members;
    return this.fleet.gateways.find(({ card }) => card.vm === leader)!;
  }

  /** Makes a part deadly that has been sound until now. */
  turnDeadly(part: string): void {
    this.#deadly.add(part);
  }

  /** Upstreams that a part has crashed. */
  crashes(part: string): number {
    return this.#crashedAt.get(part)?.length ?? 0;
  }

  /** Requests with a part that reached a worker later than the stable window after its fifth crash. */
  lateArrivals(part: string): number {
    const fifth = this.#crashedAt.get(part)?.[COUNTED_CRASHES - 1] ?? Infinity;
    return (this.#reachedAt.get(part) ?? [])
      .filter((at) => at > fifth + STABLE_WINDOW_MS).length;
  }

  /** Share of the sound requests sent in the last `ms` that began at their first attempt; of one first part if given. */
  soundShare(ms: Millis, first?: string): number {
    const since = this.fleet.time.now - ms;
    // The newest ones may still be on their way.
    const until = this.fleet.time.now - 2 * FIRST_TOKEN_MS - 4 * STEP_MS;
    const sent = this.#sent.filter((one) =>
      one.isSound && one.at >= since && one.at < until &&
      (first === undefined || one.first === first)
    );
    return sent.filter((one) => one.began).length / sent.length;
  }

  /** Runs the simulation for `ms`. */
  run(ms: Millis): void {
    const until = this.fleet.time.now + ms;
    while (this.fleet.time.now < until) {
      this.#sendDue();
      this.fleet.time.run(STEP_MS);
      for (const gateway of [...this.fleet.gateways]) this.#runGranted(gateway);
    }
  }

  /** Crashes running upstreams at the same moment, whatever they are running. */
  crashSome(count: number): void {
    const open = [...this.#aboard.keys()];
    for (let i = 0; i < count && open.length > 0; i += 1) {
      const [upstream] = open.splice(this.#random.below(open.length), 1);
      this.#crash(upstream!);
    }
  }

  /** Sends one request with the given shared parts to a daemon. */
  send(
    parts: readonly string[],
    gateway = this.#randomGateway(),
  ): void {
    const at = this.fleet.time.now;
    const isSound = !parts.some((part) => this.#deadly.has(part));
    this.#sent.push({ at, first: parts[0]!, isSound, began: false });
    this.#place({
      gateway,
      parts: parts as readonly PromptPartId[],
      digest: `digest-${this.#sent.length}`,
      attempt: 1,
      sentAt: at,
    }, this.#sent.length - 1);
  }

  #sendDue(): void {
    const { soundRate, deadlyRate, deadlyParts } = this.#options;
    while (this.fleet.time.now >= this.#nextSoundAt) {
      this.send([this.#firstPart(), ...this.#common.flat()]);
      this.#nextSoundAt += 1_000 / soundRate;
    }
    while (this.fleet.time.now >= this.#nextDeadlyAt) {
      this.#nextDeadlyAt += 1_000 / deadlyRate;
      if (!this.sendsDeadly || deadlyParts.length === 0) continue;
      const part = deadlyParts[this.#random.below(deadlyParts.length)]!;
      const [before, behind] = this.#common;
      this.send([this.#firstPart(), ...before, part, ...behind]);
    }
  }

  /** A first part; most requests have one of a few. */
  #firstPart(): string {
    let index = 0;
    while (index < FIRST_PARTS - 1 && this.#random.below(5) > 1) index += 1;
    return `first-${index}`;
  }

  #place(request: SimulatedRequest, index: number, avoid?: UpstreamId): void {
    const { gateway, parts, digest, attempt } = request;
    const job = `job-${index}.${attempt}` as JobId;
    this.#requests.set(job, request);
    const ask = placementRequest(job, {
      vm: gateway.card.vm,
      kind: "call",
      promptTokens: 0,
      leftMs: LEFT_MS,
      digest,
      sharedParts: parts,
      avoid: avoid === undefined ? [] : [avoid],
    });
    this.fleet.step(gateway, [{ type: "place", ask }]);
  }

  #randomGateway(): FakeGateway {
    const { gateways } = this.fleet;
    return gateways[this.#random.below(gateways.length)]!;
  }

  #runGranted(gateway: FakeGateway): void {
    for (const reply of this.#replies.next(gateway)) {
      if (reply.type !== "granted") continue;
      const { id, upstream } = reply.grant.job;
      this.fleet.time.schedule(
        NETWORK_DELAY_MS,
        () => this.#arrive(id, upstream),
      );
    }
  }

  #arrive(job: JobId, upstream: UpstreamId): void {
    const aboard = this.#aboard.get(upstream);
    if (aboard === undefined) {
      if (this.#options.dark === true) {
        this.fleet.time.schedule(
          SILENCE_MS,
          () => this.#fail(job, upstream, "silent"),
        );
      } else this.#fail(job, upstream, "not_run");
      return;
    }
    aboard.add(job);
    this.#arrivedAt.set(job, this.fleet.time.now);
    const { parts } = this.#requests.get(job)!;
    const deadly = parts.filter((part) => this.#deadly.has(part));
    for (const part of deadly) push(this.#reachedAt, part, this.fleet.time.now);
    this.fleet.time.schedule(FIRST_TOKEN_MS, () => {
      if (this.#aboard.get(upstream)?.has(job) !== true) return;
      if (deadly.length === 0) return this.#begin(job, upstream);
      for (const part of deadly) {
        push(this.#crashedAt, part, this.fleet.time.now);
      }
      this.#crash(upstream);
    });
  }

  #begin(job: JobId, upstream: UpstreamId): void {
    const [index, attempt] = job.slice("job-".length).split(".").map(Number);
    if (attempt === 1) this.#sent[index!]!.began = true;
    this.fleet.time.schedule(ANSWER_MS - FIRST_TOKEN_MS, () => {
      if (this.#aboard.get(upstream)?.delete(job) !== true) return;
      this.#report(job, upstream, "answered");
    });
  }

  #crash(upstream: UpstreamId): void {
    const lost = this.#aboard.get(upstream);
    if (lost === undefined) return;
    this.#aboard.delete(upstream);
    const { dark } = this.#options;
    if (dark !== true) this.fleet.unreachable.add(upstream);
    for (const job of lost) {
      this.fleet.time.schedule(
        dark === true ? SILENCE_MS : NETWORK_DELAY_MS,
        () =>
          this.#fail(job, upstream, dark === true ? "silent" : "disconnected"),
      );
    }
    this.fleet.time.schedule(
      ENTRY_EXPIRY_MS,
      () => this.fleet.register({ type: "gone", id: upstream }),
    );
    this.fleet.time.schedule(RESTART_DELAY_MS, () => this.#startUpstream());
  }

  #fail(
    job: JobId,
    upstream: UpstreamId,
    outcome: ContentReport["outcome"],
  ): void {
    this.#report(job, upstream, outcome);
    const request = this.#requests.get(job)!;
    if (request.attempt >= MAX_ATTEMPTS) return;
    const index = Number(job.slice("job-".length).split(".")[0]);
    const next = { ...request, attempt: request.attempt + 1 };
    this.#place(next, index, upstream);
  }

  #report(
    job: JobId,
    upstream: UpstreamId,
    outcome: ContentReport["outcome"],
  ): void {
    const { gateway, digest, parts } = this.#requests.get(job)!;
    const ranMs = this.fleet.time.now - (this.#arrivedAt.get(job) ?? 0);
    const content = { digest, sharedParts: parts, outcome, ranMs };
    const progress = { type: "job", job, upstream } as const;
    if (outcome === "silent") {
      const begun = { phase: "started", silence: "begun", content } as const;
      const replaced = { phase: "failed", silence: "lasting" } as const;
      this.fleet.step(gateway, [
        { ...progress, ...begun },
        { ...progress, ...replaced },
      ]);
      return;
    }
    this.fleet.step(gateway, [{
      ...progress,
      phase: outcome === "answered" ? "ended" : "failed",
      ...(outcome === "not_run" ? { unreachable: true } : {}),
      content,
    }]);
  }

  #startUpstream(): void {
    this.#started += 1;
    const entry = upstreamEntry(`e${this.#started}`);
    this.fleet.register({ type: "entry", entry });
    this.#aboard.set(entry.id as UpstreamId, new Set());
  }
}

function push(map: Map<string, Timestamp[]>, key: string, at: Timestamp): void {
  map.set(key, [...map.get(key) ?? [], at]);
}
