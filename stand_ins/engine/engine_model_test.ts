import fc from "fast-check";
import { expect, test } from "vitest";
import type {
  AdapterId,
  AttemptId,
  Digest,
  Incarnation,
  ModelId,
  PlanId,
  RequestId,
  VersionId,
} from "../../src/core/id.ts";
import { Random } from "../../src/core/random.ts";
import { addMs, type Timestamp } from "../../src/core/time.ts";
import { EngineModel } from "./engine_model.ts";
import type { EngineJob, ModelEvent } from "./job.ts";
import { LaggedReports } from "./lagged_reports.ts";
import { createModelConfig, type EngineModelConfig } from "./model_config.ts";
import { NaiveEngine } from "./naive_engine.ts";

const START = 1_000 as Timestamp;
const FAR = 1e9 as Timestamp;
const WEIGHTS = { model: "m" as ModelId, version: "v1" as VersionId };
const LOADED = [{
  ...WEIGHTS,
  adapters: ["lora" as AdapterId],
}];
const OPTIONS = { incarnation: "run-1" as Incarnation, loaded: LOADED };
const PLAN = "plan-1" as PlanId;

function job(attempt: string, more: Partial<EngineJob> = {}): EngineJob {
  return {
    request: `r-${attempt}` as RequestId,
    attempt: attempt as AttemptId,
    promptTokens: 1_000,
    blocks: [],
    maxTokens: 10,
    answerTokens: 3,
    priority: 0,
    weights: WEIGHTS,
    deadlineAt: FAR,
    ...more,
  };
}

function digests(...names: string[]): Digest[] {
  return names as Digest[];
}

function runAll(model: EngineModel): ModelEvent[] {
  const events: ModelEvent[] = [];
  let at = model.nextEventAt();
  while (at !== undefined) {
    events.push(...model.advance(at));
    at = model.nextEventAt();
  }
  return events;
}

test("one prompt takes the steps of the cost model", () => {
  const model = EngineModel.create(OPTIONS);
  expect(model.submit(START, job("a")).isOk()).toBe(true);
  // 512 tokens from 0, 488 from 512, then two steps of one decoding stream.
  const first = 8 + 0.05 * 512 * (1 + 255.5 / 200_000);
  const second = 8 + 0.05 * 488 * (1 + 755.5 / 200_000);
  const events = runAll(model);
  expect(events[0]!.at).toBeCloseTo(START + first + second, 6);
  expect(events.at(-1)!.at).toBeCloseTo(START + first + second + 16.04, 6);
  expect(events.map((event) => event.type)).toEqual([
    "prefilled",
    "tokens",
    "tokens",
    "tokens",
    "done",
  ]);
});

test("a cached prefix is not prefilled again, and other weights do not share it", () => {
  const model = EngineModel.create(OPTIONS);
  const blocks = digests("b1", "b2", "b3");
  const cached: number[] = [];
  const weights = [WEIGHTS, WEIGHTS, {
    ...WEIGHTS,
    adapter: "lora" as AdapterId,
  }];
  for (const [i, item] of weights.entries()) {
    const at = addMs(START, i * 1_000);
    expect(model.submit(at, job(`a${i}`, { blocks, weights: item })).isOk())
      .toBe(true);
    for (const event of runAll(model)) {
      if (event.type === "prefilled") cached.push(event.cachedTokens);
    }
  }
  expect(cached).toEqual([0, 768, 0]);
});

test("refusals name their reason and run nothing", () => {
  const model = EngineModel.create({ ...OPTIONS, maxWaiting: 1 });
  const code = (item: EngineJob) =>
    model.submit(START, item).match(() => "ok", (refusal) => refusal.code);
  const segment = { plan: PLAN, from: 0, to: 10, last: false, total: 20 };
  const codes = [
    code(job("a", { promptTokens: 450_000 })),
    code(job("b", { weights: { ...WEIGHTS, version: "v2" as VersionId } })),
    code(job("c", { segment })),
    code(job("d")),
    code(job("e")),
  ];
  model.leave();
  codes.push(code(job("f")));
  expect(codes).toEqual([
    "too_long",
    "not_loaded",
    "unknown_plan",
    "ok",
    "queue_full",
    "leaving",
  ]);
  expect(model.loadReport(START)).toMatchObject({ waiting: 1, leaving: true });
});

test("a poison prompt crashes the engine and takes its neighbours along", () => {
  const model = EngineModel.create(OPTIONS);
  model.submit(START, job("a"))._unsafeUnwrap();
  model.submit(START, job("b", { poison: true, promptTokens: 10 }))
    ._unsafeUnwrap();
  const events = runAll(model);
  expect(events.at(-1)).toMatchObject({
    type: "crashed",
    attempts: ["a", "b"],
  });
  expect(model.submit(FAR, job("c")).isErr()).toBe(true);
  model.restart("run-2" as Incarnation);
  expect(model.submit(FAR, job("c")).isOk()).toBe(true);
  expect(model.loadReport(FAR).kv_free_tokens).toBe(450_000);
});

test("a plan's memory lapses without renewal, with whatever ran in it", () => {
  const model = EngineModel.create(OPTIONS);
  const ask = { owner: "d1", tokens: 400_000, ttlMs: 100 };
  expect(model.reserve(START, PLAN, ask).isOk()).toBe(true);
  const segment = { plan: PLAN, from: 0, to: 400_000, last: false, total: 9e5 };
  const long = job("a", { promptTokens: 9e5, segment });
  expect(model.submit(START, long).isOk()).toBe(true);
  expect(model.reserve(addMs(START, 60), PLAN, ask).isOk()).toBe(true);
  expect(model.loadReport(addMs(START, 60)).kv_free_tokens).toBe(50_000);
  const events = runAll(model);
  expect(events.map((event) => [event.type, event.at])).toEqual([
    ["reservation_lapsed", START + 160],
    ["error", START + 160],
  ]);
  expect(model.loadReport(FAR).kv_free_tokens).toBe(450_000);
  const whole = job("b", { promptTokens: 449_990 });
  expect(model.submit(FAR, whole).isOk()).toBe(true);
});

test("KV transfers go one at a time and a broken import frees its memory", () => {
  const model = EngineModel.create(OPTIONS);
  const ask = { owner: "d1", tokens: 300_000, ttlMs: 60_000 };
  model.reserve(START, PLAN, ask)._unsafeUnwrap();
  const options = { direction: "import", tokens: 100_000 } as const;
  model.transfer(START, PLAN, options)._unsafeUnwrap();
  model.transfer(START, PLAN, options)._unsafeUnwrap();
  const events = model.advance(addMs(START, 1_500));
  expect(events.map((event) => [event.type, event.at])).toEqual([
    ["transferred", START + 1_000],
  ]);
  expect(model.held(PLAN)).toMatchObject({ used: 200_000, imported: 100_000 });
  model.abortImport(addMs(START, 1_500), PLAN);
  expect(model.held(PLAN)).toMatchObject({ used: 100_000, imported: 100_000 });
});

test("load reports lag and cache events arrive late, in order and with gaps", () => {
  const model = EngineModel.create(OPTIONS);
  const reports = LaggedReports.create(Random.create(3), START);
  reports.sample(START, model);
  expect(reports.load(addMs(START, 299))).toBeUndefined();
  expect(reports.load(addMs(START, 1_500))?.at).toBe(START);
  expect(reports.nextSampleAt()).toBe(START + 500);
  const events = Array.from({ length: 400 }, (_, i): ModelEvent => ({
    type: "cache",
    at: addMs(START, i),
    change: "stored",
    blocks: digests(`b${i}`),
  }));
  reports.publish(events);
  expect(reports.cacheEvents(addMs(START, 999), 0)).toEqual([]);
  const seen = reports.cacheEvents(addMs(START, 5_400), 0);
  const seqs = seen.map((event) => event.seq);
  expect(seqs).toEqual([...seqs].sort((a, b) => a - b));
  expect(seen.length).toBeGreaterThan(350);
  expect(seen.length).toBeLessThan(400);
  expect(reports.cacheEvents(addMs(START, 5_400), 390).length).toBeLessThan(11);
});

type Op =
  | Readonly<{ type: "submit"; job: EngineJob }>
  | Readonly<{ type: "cancel"; attempt: AttemptId }>
  | Readonly<{ type: "reserve"; plan: PlanId; tokens: number; ttlMs: number }>
  | Readonly<{ type: "release"; plan: PlanId }>
  | Readonly<{ type: "crash" }>;

const SMALL: EngineModelConfig = createModelConfig({
  ...OPTIONS,
  kvCapacityTokens: 1_000,
  blockTokens: 16,
  prefillStepTokens: 48,
  maxRunning: 3,
  maxWaiting: 4,
  prefillContextTokens: 700,
});

const planIds = fc.constantFrom("p1" as PlanId, "p2" as PlanId);
const attemptIds = fc.integer({ min: 0, max: 12 })
  .map((i) => `a${i}` as AttemptId);

const jobs = fc.record({
  attempt: attemptIds,
  promptTokens: fc.integer({ min: 1, max: 600 }),
  family: fc.constantFrom("x", "y"),
  common: fc.integer({ min: 0, max: 30 }),
  maxTokens: fc.integer({ min: 1, max: 60 }),
  short: fc.integer({ min: 0, max: 59 }),
  answered: fc.constantFrom(0, 0, 0, 5),
  priority: fc.integer({ min: 0, max: 2 }),
  deadlineMs: fc.integer({ min: 20, max: 3_000 }),
  poison: fc.integer({ min: 0, max: 30 }).map((n) => n === 0),
  segment: fc.option(
    fc.record({
      plan: planIds,
      from: fc.constantFrom(0, 100, 400),
      size: fc.integer({ min: 1, max: 300 }),
      last: fc.boolean(),
    }),
    { freq: 4 },
  ),
}).map((draw): Omit<EngineJob, "deadlineAt"> & { deadlineMs: number } => {
  const { segment, family, common, short, answered, ...rest } = draw;
  const blocks = Array.from(
    { length: Math.floor(draw.promptTokens / 16) },
    (_, i) => (i < common ? `${family}${i}` : `${draw.attempt}-${i}`) as Digest,
  );
  return {
    ...rest,
    request: "r" as RequestId,
    blocks,
    weights: WEIGHTS,
    answerTokens: Math.max(1, draw.maxTokens - short),
    answeredTokens: Math.min(answered, draw.maxTokens),
    ...(segment && {
      segment: {
        plan: segment.plan,
        from: segment.from,
        to: segment.from + segment.size,
        last: segment.last,
        total: 700,
      },
    }),
  };
});

const ops = fc.array(
  fc.tuple(
    fc.integer({ min: 0, max: 150 }),
    fc.oneof(
      { weight: 8, arbitrary: jobs.map((item) => ({ type: "submit", item })) },
      {
        weight: 1,
        arbitrary: attemptIds.map((attempt) => ({ type: "cancel", attempt })),
      },
      {
        weight: 3,
        arbitrary: fc.record({
          type: fc.constant("reserve"),
          plan: planIds,
          tokens: fc.integer({ min: 1, max: 800 }),
          ttlMs: fc.integer({ min: 20, max: 2_000 }),
        }),
      },
      {
        weight: 1,
        arbitrary: planIds.map((plan) => ({ type: "release", plan })),
      },
      { weight: 1, arbitrary: fc.constant({ type: "crash" }) },
    ),
  ),
  { minLength: 1, maxLength: 30 },
).map((drawn) => {
  let at = START;
  return drawn.map(([gap, op]) => {
    // A fraction of its own keeps operations off the ends of steps.
    at = addMs(at, gap + 0.000_137);
    if (op.type !== "submit" || !("item" in op)) return { at, op: op as Op };
    const { deadlineMs, ...item } = op.item;
    const deadlineAt = addMs(at, deadlineMs + 0.000_731);
    return { at, op: { type: "submit", job: { ...item, deadlineAt } } as Op };
  });
});

test("the fast model and the naive one report the same events", () => {
  fc.assert(
    fc.property(ops, (script) => {
      const model = EngineModel.create(SMALL);
      const naive = NaiveEngine.create(SMALL);
      const events: ModelEvent[] = [];
      for (const { at, op } of script) {
        expect(apply(model, at, op)).toBe(applyNaive(naive, at, op));
        events.push(...model.advance(at));
        naive.run(at, true);
        const free = model.loadReport(at).kv_free_tokens;
        expect(free).toBe(naive.freeTokens());
        expect(free).toBeGreaterThanOrEqual(0);
      }
      events.push(...runAll(model));
      naive.run(FAR, true);
      expect(rounded(events)).toEqual(rounded(naive.events));
      expect(model.loadReport(FAR).kv_free_tokens).toBe(SMALL.kvCapacityTokens);
    }),
    { seed: 20_261_204, numRuns: 400 },
  );
});

function apply(model: EngineModel, at: Timestamp, op: Op): boolean {
  switch (op.type) {
    case "submit":
      return model.submit(at, op.job).isOk();
    case "cancel":
      model.cancel(at, op.attempt);
      return true;
    case "reserve":
      return model.reserve(at, op.plan, { owner: "d", ...op }).isOk();
    case "release":
      model.release(at, op.plan);
      return true;
    case "crash":
      model.crash(at);
      model.restart("run-2" as Incarnation);
      return true;
  }
}

function applyNaive(naive: NaiveEngine, at: Timestamp, op: Op): boolean {
  switch (op.type) {
    case "submit":
      return naive.submit(at, op.job);
    case "cancel":
      naive.cancel(at, op.attempt);
      return true;
    case "reserve":
      return naive.reserve(at, op.plan, { owner: "d", ...op });
    case "release":
      naive.release(at, op.plan);
      return true;
    case "crash":
      naive.crash(at);
      naive.restart();
      return true;
  }
}

function rounded(events: readonly ModelEvent[]): unknown[] {
  return events.map((event) => ({ ...event, at: Math.round(event.at * 1e4) }));
}
