import { type Blackboard, createBlackboard } from "../board/blackboard.ts";
import type { Peer } from "../board/members_section.ts";
import type { Self } from "../board/self.ts";
import type { Upstream } from "../board/upstreams_section.ts";
import { type ServingConfig, ServingConfigSchema } from "../config/serving.ts";
import type { Controller } from "../core/controller.ts";
import { Core, type StepResult } from "../core/core.ts";
import type { Event } from "../core/event.ts";
import type {
  ClassId,
  DaemonId,
  Digest,
  DomainId,
  IdempotencyKey,
  Incarnation,
  ModelId,
  RequestId,
  Revision,
  ServiceId,
  TeamId,
  UpstreamId,
  VersionId,
  VmId,
} from "../core/id.ts";
import type { Intent } from "../core/intent.ts";
import { Random } from "../core/random.ts";
import type { CallRequest, PromptRequest } from "../core/request.ts";
import { addMs, type Millis, type Timestamp } from "../core/time.ts";

/** Time at which tests start. */
export const START = 1_700_000_000_000 as Timestamp;

/** Identity of the test daemon with this number. */
export function selfFixture(index = 1): Self {
  return {
    id: `daemon-${index}` as DaemonId,
    vm: `vm-${index}` as VmId,
    domain: `domain-${index % 3}` as DomainId,
    clientAddress: `10.0.0.${index}:80`,
    peerAddress: `10.0.0.${index}:90`,
    startedAt: START,
  };
}

/** A serving configuration with one model, one service and two teams. */
export function servingFixture(
  overrides: Partial<ServingConfig["limits"]> = {},
): ServingConfig {
  return ServingConfigSchema.parse({
    models: [{
      id: "sage",
      versions: ["1", "2"],
      version: "2",
      adapters: ["ledger"],
    }],
    groups: [],
    services: [{
      id: "stock",
      once: ["POST /reservations", "POST /orders/*"],
      timeoutMs: 5_000,
    }],
    teams: [
      { id: "makers", share: 2, tokenDigests: [], models: [], services: [] },
      {
        id: "buyers",
        share: 1,
        tokenDigests: [],
        models: ["other"],
        services: [],
      },
    ],
    classes: [{
      id: "quick",
      urgency: 0,
      deadlineMs: 10_000,
      maxDeadlineMs: 60_000,
    }],
    limits: { ...overrides },
  });
}

/** A live engine that has version 2 of the model with its adapter. */
export function engineFixture(
  id: string,
  overrides: Partial<Upstream> = {},
): Upstream {
  const loaded = [{
    model: "sage" as ModelId,
    version: "2" as VersionId,
    adapters: [],
  }];
  return {
    id: id as UpstreamId,
    kind: "engine",
    domain: "domain-1" as DomainId,
    address: `${id}:1`,
    incarnation: `${id}-run-1` as Incarnation,
    state: "live",
    load: {
      incarnation: `${id}-run-1` as Incarnation,
      at: START,
      running: 0,
      waiting: 0,
      decoding: 0,
      prefill_tokens: 0,
      kv_capacity_tokens: 450_000,
      kv_free_tokens: 450_000,
      loaded,
      role: "mixed",
      leaving: false,
    },
    engine: {
      incarnation: `${id}-run-1` as Incarnation,
      loaded,
      loading: [],
      role: "mixed",
      leaving: false,
    },
    ...overrides,
  };
}

/** A live instance of the service `stock`. */
export function serviceFixture(id: string): Upstream {
  return {
    id: id as UpstreamId,
    kind: "service",
    domain: "domain-1" as DomainId,
    address: `${id}:1`,
    incarnation: `${id}-run-1` as Incarnation,
    state: "live",
    service: "stock" as ServiceId,
  };
}

/** A prompt of 1,000 tokens whose deadline is 10 s away. */
export function promptFixture(
  id: string,
  overrides: Partial<PromptRequest> = {},
): PromptRequest {
  return {
    kind: "prompt",
    id: id as RequestId,
    team: "makers" as TeamId,
    classId: "quick" as ClassId,
    arrivedAt: START,
    deadlineAt: addMs(START, 10_000),
    digest: `digest-${id}` as Digest,
    model: "sage" as ModelId,
    promptTokens: 1_000,
    maxTokens: 100,
    blocks: [],
    ...overrides,
  };
}

/** A call that runs at most once and has an idempotency key. */
export function callFixture(
  id: string,
  overrides: Partial<CallRequest> = {},
): CallRequest {
  return {
    kind: "call",
    id: id as RequestId,
    team: "makers" as TeamId,
    classId: "quick" as ClassId,
    arrivedAt: START,
    deadlineAt: addMs(START, 10_000),
    digest: `digest-${id}` as Digest,
    service: "stock" as ServiceId,
    method: "POST",
    path: "/reservations",
    key: "key-1" as IdempotencyKey,
    ...overrides,
  };
}

/** Another daemon that serves. */
export function peerFixture(id: DaemonId, now: Timestamp): Peer {
  return {
    id,
    vm: "vm-2" as VmId,
    domain: "domain-1" as DomainId,
    clientAddress: "vm-2:1",
    peerAddress: "vm-2:2",
    state: "serving",
    revision: 0 as Revision,
    running: 0,
    queued: 0,
    lastMessageAt: now,
  };
}

/** A core with an active configuration, which the test steps at times it sets. */
export class CoreFixture {
  readonly board: Blackboard;
  readonly #core: Core;
  now: Timestamp = START;

  private constructor(
    controllers: readonly Controller[],
    serving: ServingConfig,
  ) {
    this.board = createBlackboard(selfFixture());
    this.board.config.serving = serving;
    this.board.config.revision = 0 as Revision;
    this.#core = Core.create({
      board: this.board,
      controllers,
      random: Random.create(1),
    });
  }

  static create(
    controllers: readonly Controller[],
    serving: ServingConfig = servingFixture(),
  ): CoreFixture {
    return new CoreFixture(controllers, serving);
  }

  /** Adds upstreams to the board. */
  add(...upstreams: readonly Upstream[]): void {
    for (const one of upstreams) this.board.upstreams.byId.set(one.id, one);
  }

  /** Steps the core at the present time. */
  step(...events: readonly Event[]): StepResult {
    return this.#core.step(this.now, events);
  }

  /** Advances the clock by `ms`, then steps the core. */
  after(ms: Millis, ...events: readonly Event[]): StepResult {
    this.now = addMs(this.now, ms);
    return this.step(...events);
  }
}

/** Intents of one type. */
export function intentsOf<Type extends Intent["type"]>(
  result: StepResult,
  type: Type,
): readonly Extract<Intent, { type: Type }>[] {
  return result.intents.filter((
    intent,
  ): intent is Extract<Intent, { type: Type }> => intent.type === type);
}
