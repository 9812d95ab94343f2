import fc from "fast-check";
import { expect, test } from "vitest";
import type { Blackboard } from "../board/blackboard.ts";
import { Controller } from "../core/controller.ts";
import type { StepResult } from "../core/core.ts";
import type { Event } from "../core/event.ts";
import type { PlanId, RequestId, UpstreamId } from "../core/id.ts";
import type { Intent } from "../core/intent.ts";
import type { Outcome, Segment } from "../core/request.ts";
import type { StepContext } from "../core/step_context.ts";
import { addMs, type Millis, type Timestamp } from "../core/time.ts";
import {
  CoreFixture,
  engineFixture,
  intentsOf,
  promptFixture,
  servingFixture,
  START,
} from "../testing/fixtures.ts";
import {
  PLAN_RENEW_MS,
  PLAN_RESERVE_MS,
  PLAN_TTL_MS,
  PlanController,
} from "./plan_controller.ts";
import { QuarantineController } from "./quarantine_controller.ts";
import { RequestController } from "./request_controller.ts";
import { UpstreamController } from "./upstream_controller.ts";

const ENGINES = ["e1", "e2", "e3"] as UpstreamId[];
const CAPACITY = 1_000;
const MAX_TOKENS = 100;

/** Grants each request the segments that the test set for it. */
class FixedPlacement extends Controller {
  readonly name = "placement";
  readonly segments = new Map<RequestId, readonly Segment[]>();

  override step(board: Blackboard, _ctx: StepContext): void {
    for (const { req, state, round } of board.requests.byId.values()) {
      if (state !== "placing") continue;
      const segments = this.segments.get(req.id)!;
      const plan = { id: `${req.id}-${round}` as PlanId, segments };
      const placement = {
        upstream: segments.at(-1)!.upstream,
        priority: 0,
        plan,
      };
      board.placement.placed.set(req.id, { type: "granted", round, placement });
    }
  }
}

type Daemon = Readonly<{ core: CoreFixture; placement: FixedPlacement }>;

function createDaemon(): Daemon {
  const placement = new FixedPlacement();
  const core = CoreFixture.create([
    placement,
    PlanController.create(),
    RequestController.create(),
  ], servingFixture({ maxAttempts: 10, retryRatio: 1 }));
  core.add(...ENGINES.map((id) => engineFixture(id)));
  return { core, placement };
}

function split(order: readonly number[], tokens: number): Segment[] {
  return order.map((engine, i) => ({
    upstream: ENGINES[engine]!,
    from: i * tokens,
    to: (i + 1) * tokens,
  }));
}

function arrive(daemon: Daemon, id: string, segments: Segment[]): StepResult {
  daemon.placement.segments.set(id as RequestId, segments);
  return daemon.core.step({
    type: "request_arrived",
    req: promptFixture(id, {
      maxTokens: MAX_TOKENS,
      arrivedAt: daemon.core.now,
      deadlineAt: addMs(daemon.core.now, 60_000),
    }),
  });
}

function answer(
  engine: string,
  plan: string,
  result: "held" | "refused" | "released" | "unknown",
): Event {
  const upstream = engine as UpstreamId;
  return { type: "reservation_ended", upstream, plan, result };
}

function asked(result: StepResult): string[] {
  return intentsOf(result, "reserve_memory").map((intent) =>
    `${intent.upstream} ${intent.tokens}`
  );
}

function released(result: StepResult): string[] {
  return intentsOf(result, "release_memory").map((intent) => intent.upstream);
}

test("memory is reserved in the order of the engines' ids, then the attempt starts", () => {
  const daemon = createDaemon();
  const { core } = daemon;
  expect(asked(arrive(daemon, "r1", split([2, 0, 1], 400)))).toEqual([
    "e1 400",
  ]);
  expect(asked(core.step(answer("e1", "r1-1", "held")))).toEqual(["e2 500"]);
  expect(asked(core.step(answer("e2", "r1-1", "held")))).toEqual(["e3 400"]);
  const last = core.step(answer("e3", "r1-1", "held"));
  const [start] = intentsOf(last, "start_attempt");
  expect(start?.placement.plan?.segments.map((segment) => segment.upstream))
    .toEqual(["e3", "e1", "e2"]);
  expect(asked(core.after(PLAN_RENEW_MS))).toHaveLength(3);
  const end = core.step({
    type: "attempt_ended",
    req: "r1" as RequestId,
    attempt: start!.attempt,
    outcome: { type: "ok", tokens: 1, status: 200 },
  });
  expect(released(end)).toEqual(["e1", "e2", "e3"]);
});

test("a refused reservation is retried, and the plan releases everything when its time is up", () => {
  const daemon = createDaemon();
  const { core } = daemon;
  arrive(daemon, "r1", split([0, 1], 400));
  core.step(answer("e1", "r1-1", "held"));
  expect(asked(core.step(answer("e2", "r1-1", "refused")))).toEqual([]);
  expect(asked(core.after(250))).toEqual(["e2 500"]);
  core.step(answer("e2", "r1-1", "unknown"));
  const expired = core.after(PLAN_RESERVE_MS);
  expect(released(expired)).toEqual(["e1", "e2"]);
  expect(core.board.counters.retried.plan_broken).toBe(1);
  expect(intentsOf(expired, "start_attempt")).toEqual([]);
  expect(asked(core.step())).toEqual([]);
  expect([...core.board.plans.byId.keys()]).toEqual(["r1-2"]);
});

test("memory granted after its plan has ended is released and counted", () => {
  const daemon = createDaemon();
  const { core } = daemon;
  arrive(daemon, "r1", split([0, 1], 400));
  core.step({ type: "client_left", req: "r1" as RequestId });
  core.step();
  expect(released(core.step(answer("e1", "r1-1", "held")))).toEqual(["e1"]);
  expect(core.board.counters.counted.reservations_reclaimed).toBe(1);
});

test("when the client of a running stream leaves, the decoding engine keeps the memory", () => {
  const daemon = createDaemon();
  const { core } = daemon;
  arrive(daemon, "r1", split([0, 1], 400));
  core.step(answer("e1", "r1-1", "held"));
  const [start] = intentsOf(
    core.step(answer("e2", "r1-1", "held")),
    "start_attempt",
  );
  const { req, attempt } = start!;
  core.step({ type: "first_token", req, attempt });
  expect(released(core.step({ type: "client_left", req }))).toEqual([]);
  expect(asked(core.after(PLAN_RENEW_MS))).toEqual([]);
});

test("a crash in a segment is attributed to the engine that ran it", () => {
  const placement = new FixedPlacement();
  const core = CoreFixture.create([
    UpstreamController.create(),
    QuarantineController.create(),
    placement,
    PlanController.create(),
    RequestController.create(),
  ]);
  core.add(...ENGINES.map((id) => engineFixture(id)));
  arrive({ core, placement }, "r1", split([0, 1], 400));
  core.step(answer("e1", "r1-1", "held"));
  const [start] = intentsOf(
    core.step(answer("e2", "r1-1", "held")),
    "start_attempt",
  );
  const { req, attempt } = start!;
  const outcome: Outcome = {
    type: "failed",
    cause: "plan_broken",
    verdict: "may_have_run",
    tokens: 0,
    crashed: true,
    detail: "",
    upstream: ENGINES[0]!,
  };
  core.step({ type: "attempt_ended", req, attempt, outcome });
  expect(core.board.requests.byId.get(req)?.excluded).toEqual(["e1"]);
  expect(core.board.upstreams.byId.get(ENGINES[0]!)?.state).toBe("unreachable");
  expect(core.board.upstreams.byId.get(ENGINES[1]!)?.state).toBe("live");
  const [suspect] = [...core.board.quarantine.suspects.values()];
  expect(suspect?.upstreams).toEqual(["e1"]);
});

/** Reference model of an engine's reservations. */
class EngineMemory {
  #held = new Map<string, { tokens: number; expiresAt: number }>();

  reserve(now: number, plan: string, ask: [number, number]): boolean {
    const [tokens, ttlMs] = ask;
    this.expire(now);
    const others = [...this.#held].filter(([id]) => id !== plan)
      .reduce((sum, [, held]) => sum + held.tokens, 0);
    if (others + tokens > CAPACITY) return false;
    this.#held.set(plan, { tokens, expiresAt: now + ttlMs });
    return true;
  }

  release(plan: string): void {
    this.#held.delete(plan);
  }

  expire(now: number): void {
    for (const [id, { expiresAt }] of this.#held) {
      if (expiresAt <= now) this.#held.delete(id);
    }
  }

  crash(): void {
    this.#held.clear();
  }

  holds(now: number, plan: string): boolean {
    this.expire(now);
    return this.#held.has(plan);
  }

  free(now: number): number {
    this.expire(now);
    return CAPACITY -
      [...this.#held.values()].reduce((sum, held) => sum + held.tokens, 0);
  }
}

type CallFault = Readonly<
  { requestDelayMs: Millis; responseDelayMs: Millis; lost: number }
>;
type Task = Readonly<{ at: Timestamp; seq: number; run: () => void }>;

/** Daemons and engines in virtual time, with delayed and lost calls. */
class Fleet {
  readonly daemons: (Daemon | undefined)[];
  readonly engines = new Map(ENGINES.map((id) => [id, new EngineMemory()]));
  readonly log: string[] = [];
  now = START;
  started = 0;
  finished = 0;
  #tasks: Task[] = [];
  #seq = 0;
  readonly #callFaults: readonly CallFault[];
  #calls = 0;

  constructor(daemons: number, callFaults: readonly CallFault[]) {
    this.daemons = Array.from({ length: daemons }, createDaemon);
    this.#callFaults = callFaults;
  }

  at(ms: Millis, run: () => void): void {
    const at = addMs(this.now, ms);
    this.#tasks.push({ at, seq: this.#seq++, run });
  }

  run(): void {
    for (let steps = 0; this.#tasks.length > 0; steps += 1) {
      if (steps > 20_000) throw new Error("The fleet does not become idle");
      this.#tasks.sort((a, b) => a.at - b.at || a.seq - b.seq);
      const task = this.#tasks.shift()!;
      this.now = task.at;
      task.run();
    }
  }

  step(index: number, action: (daemon: Daemon) => StepResult): void {
    const daemon = this.daemons[index];
    if (daemon === undefined) return;
    daemon.core.now = this.now;
    const result = action(daemon);
    for (const intent of result.intents) this.#perform(index, intent);
    if (result.wakeAt === undefined) return;
    this.at(Math.max(0, result.wakeAt - this.now), () => {
      this.step(index, (it) => it.core.step());
    });
  }

  #perform(index: number, intent: Intent): void {
    const { now } = this;
    if (intent.type === "reserve_memory") {
      const { upstream, plan, tokens, ttlMs } = intent;
      const engine = this.engines.get(upstream)!;
      this.#call(
        index,
        intent,
        () =>
          engine.reserve(this.now, plan, [tokens, ttlMs]) ? "held" : "refused",
      );
    } else if (intent.type === "release_memory") {
      const engine = this.engines.get(intent.upstream)!;
      this.#call(index, intent, () => {
        engine.release(intent.plan);
        return "released";
      });
    } else if (intent.type === "start_attempt") {
      const plan = intent.placement.plan!;
      this.started += 1;
      for (const { upstream } of plan.segments) {
        if (this.engines.get(upstream)!.holds(now, plan.id)) continue;
        this.log.push(`${plan.id} started without ${upstream}`);
      }
      this.at(3_000, () => this.#end(index, intent));
    }
  }

  #end(
    index: number,
    intent: Extract<Intent, { type: "start_attempt" }>,
  ): void {
    const plan = intent.placement.plan!;
    const complete = plan.segments.every(({ upstream }) =>
      this.engines.get(upstream)!.holds(this.now, plan.id)
    );
    const outcome: Outcome = complete
      ? { type: "ok", tokens: 1, status: 200 }
      : {
        type: "failed",
        cause: "plan_broken",
        verdict: "may_have_run",
        tokens: 0,
        crashed: false,
        detail: "",
      };
    if (complete) this.finished += 1;
    const { req, attempt } = intent;
    const event: Event = { type: "attempt_ended", req, attempt, outcome };
    this.step(index, ({ core }) => core.step(event));
  }

  #call(
    index: number,
    intent: Extract<Intent, { type: "reserve_memory" | "release_memory" }>,
    effect: () => "held" | "refused" | "released",
  ): void {
    const fault = this.#callFaults[this.#calls++ % this.#callFaults.length]!;
    const { upstream, plan } = intent;
    const report = (result: "held" | "refused" | "released" | "unknown") =>
      this.step(index, ({ core }) => core.step(answer(upstream, plan, result)));
    this.at(fault.requestDelayMs, () => {
      const result = fault.lost === 1 ? "unknown" : effect();
      const received = fault.lost === 2 ? "unknown" : result;
      this.at(
        received === "unknown" ? 5_000 : fault.responseDelayMs,
        () => report(received),
      );
    });
  }
}

const NO_FAULT: CallFault = { requestDelayMs: 2, responseDelayMs: 2, lost: 0 };

test("two prompts that each need most of the memory both finish", () => {
  const fleet = new Fleet(2, [NO_FAULT]);
  fleet.at(0, () => {
    fleet.step(0, (it) => arrive(it, "a", split([0, 1, 2], 700)));
    fleet.step(1, (it) => arrive(it, "b", split([2, 1, 0], 700)));
  });
  fleet.run();
  expect(fleet.finished).toBe(2);
  expect(fleet.log).toEqual([]);
});

const callFaults = fc.array(
  fc.record({
    requestDelayMs: fc.integer({ min: 0, max: 400 }),
    responseDelayMs: fc.integer({ min: 0, max: 400 }),
    // 1: the request is lost, 2: its response is lost.
    lost: fc.constantFrom(0, 0, 0, 0, 0, 0, 1, 2),
  }),
  { minLength: 1, maxLength: 20 },
);

const prompts = fc.record({
  at: fc.integer({ min: 0, max: 20_000 }),
  daemon: fc.integer({ min: 0, max: 2 }),
  order: fc.shuffledSubarray([0, 1, 2], { minLength: 2 }),
  tokens: fc.integer({ min: 100, max: 900 }),
});

const failures = fc.record({
  at: fc.integer({ min: 0, max: 30_000 }),
  target: fc.integer({ min: 0, max: 2 }),
  type: fc.constantFrom("kill", "crash", "leave"),
});

test("no plan starts without its memory and all memory is released under random failures", () => {
  fc.assert(
    fc.property(
      callFaults,
      fc.array(prompts, { minLength: 1, maxLength: 5 }),
      fc.array(failures, { maxLength: 4 }),
      (drawnFaults, drawnPrompts, drawnFailures) => {
        const fleet = new Fleet(3, drawnFaults);
        const hasCrash = drawnFailures.some(({ type }) => type === "crash");
        drawnPrompts.forEach(({ at, daemon, order, tokens }, i) => {
          const segments = split(order, tokens);
          fleet.at(
            at,
            () => fleet.step(daemon, (it) => arrive(it, `r${i}`, segments)),
          );
        });
        for (const { at, target, type } of drawnFailures) {
          fleet.at(at, () => injectFailure(fleet, target, type));
        }
        fleet.run();
        if (!hasCrash) expect(fleet.log).toEqual([]);
        const end = addMs(fleet.now, PLAN_TTL_MS);
        for (const engine of fleet.engines.values()) {
          expect(engine.free(end)).toBe(CAPACITY);
        }
        for (const daemon of fleet.daemons) {
          expect(daemon?.core.board.plans.byId.size ?? 0).toBe(0);
        }
        if (drawnFailures.length > 0 || drawnFaults.some(({ lost }) => lost)) {
          return;
        }
        expect(fleet.started).toBeGreaterThan(0);
      },
    ),
    { seed: 20_261_204, numRuns: 300 },
  );
});

function injectFailure(fleet: Fleet, target: number, type: string): void {
  if (type === "kill") fleet.daemons[target] = undefined;
  if (type === "crash") fleet.engines.get(ENGINES[target]!)!.crash();
  if (type !== "leave") return;
  fleet.step(target, ({ core }) => {
    const ids = [...core.board.requests.byId.keys()];
    return core.step(
      ...ids.map((req): Event => ({ type: "client_left", req })),
    );
  });
}
