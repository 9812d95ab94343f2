import { Buffer } from "node:buffer";
import type { Result } from "neverthrow";
import { afterEach, expect, test } from "vitest";
import { answerLength, answerText } from "../../stand_ins/engine/answer.ts";
import { EngineServer } from "../../stand_ins/engine/engine_server.ts";
import type { EngineControl } from "../../stand_ins/engine/faults.ts";
import type {
  AttemptId,
  ModelId,
  PlanId,
  RequestId,
  UpstreamId,
  VersionId,
} from "../core/id.ts";
import type { EngineEvent, GenerateHead } from "../wire/engine.ts";
import { digestPrompt } from "./block_digests.ts";
import type { EngineStream } from "./engine_client.ts";
import { HttpEngineClient } from "./http_engine_client.ts";
import { type PlanFailure, PlanRun } from "./plan_run.ts";

const WEIGHTS = { model: "m" as ModelId, version: "v1" as VersionId };
const PLAN = "plan-1" as PlanId;
const CAPACITY_TOKENS = 10_000;
const SEGMENT_TOKENS = 9_000;
const MAX_TOKENS = 200;
/** 27,000 tokens, more than twice an engine's memory. */
const TEXT = Buffer.alloc(
  3 * SEGMENT_TOKENS * 4,
  "season 1978: 40 gross of pegs; ",
);

const cleanups: (() => unknown)[] = [];

afterEach(async () => {
  for (const close of cleanups.splice(0).reverse()) await close();
});

type Engine = Readonly<{ server: EngineServer; client: HttpEngineClient }>;

class PlanFixture {
  readonly engines: Engine[];
  readonly run: PlanRun;

  private constructor(engines: Engine[], silenceMs: number) {
    this.engines = engines;
    this.run = PlanRun.create({
      plan: PLAN,
      segments: engines.map((_, i) => ({
        upstream: String(i) as UpstreamId,
        from: i * SEGMENT_TOKENS,
        to: (i + 1) * SEGMENT_TOKENS,
      })),
      engineAt: (id) => {
        const engine = this.engines[Number(id)];
        return engine &&
          { client: engine.client, address: engine.server.address };
      },
      head,
      prompt: [TEXT.subarray(0, 50_001), TEXT.subarray(50_001)],
      promptTokens: 3 * SEGMENT_TOKENS,
      silenceMs,
    });
  }

  /** Starts three engines with the plan's memory reserved. */
  static async create(silenceMs = 20_000): Promise<PlanFixture> {
    const engines = await Promise.all([0, 1, 2].map(startEngine));
    const memory = { owner: "d", tokens: 9_500, ttl_ms: 60_000 };
    for (const { client } of engines) {
      (await client.reserve(PLAN, memory))._unsafeUnwrap();
    }
    return new PlanFixture(engines, silenceMs);
  }

  /** Resolves once the engine's segment is running. */
  async untilRunning(index: number): Promise<void> {
    const { model } = this.engines[index]!.server;
    await until(() => model.has(head().attempt));
  }

  /** Releases the plan, as its daemon does, and checks that each live engine can use all of its memory. */
  async expectAllFree(): Promise<void> {
    for (const { server, client } of this.engines) {
      if (!server.model.up) continue;
      (await client.release(PLAN))._unsafeUnwrap();
      const fullHead = {
        ...head(),
        attempt: "attempt-whole" as AttemptId,
        max_tokens: 1,
      };
      const text = TEXT.subarray(0, (CAPACITY_TOKENS - 1) * 4);
      const stream = await client.generate(fullHead, [text], {
        silenceMs: 20_000,
      });
      const events = await readAll(stream._unsafeUnwrap());
      expect(events.at(-1)).toMatchObject({ type: "done", finish: "length" });
    }
  }
}

async function startEngine(): Promise<Engine> {
  const server = EngineServer.create({
    loaded: [{ ...WEIGHTS, adapters: [] }],
    timeScale: 20,
    peerCheckMs: 20,
    model: { kvCapacityTokens: CAPACITY_TOKENS },
  });
  const client = HttpEngineClient.create(await server.listen());
  cleanups.push(() => server.close(), () => client.close());
  return { server, client };
}

function head(): GenerateHead {
  return {
    request: "req-1" as RequestId,
    attempt: "attempt-1" as AttemptId,
    ...WEIGHTS,
    max_tokens: MAX_TOKENS,
    priority: 0,
    deadline_ms: 60_000,
  };
}

function expectedText(): string {
  const { digest } = digestPrompt(TEXT);
  const key = { prompt: digest, weights: WEIGHTS };
  return answerText(key, answerLength(digest, MAX_TOKENS));
}

async function readAll(stream: EngineStream): Promise<EngineEvent[]> {
  const events: EngineEvent[] = [];
  for await (const item of stream.events) {
    if (item.ok) events.push(item.event);
  }
  return events;
}

async function readText(
  opened: Result<EngineStream, PlanFailure>,
): Promise<string> {
  const events = await readAll(opened._unsafeUnwrap());
  return events.map((event) => event.type === "token" ? event.text : "").join(
    "",
  );
}

test("a prompt larger than the memory of two engines is answered by three", async () => {
  const plan = await PlanFixture.create();
  expect(await readText(await plan.run.open())).toBe(expectedText());
  expect(plan.engines.map(({ server }) => server.model.held(PLAN)?.segments))
    .toEqual([[{ from: 0, to: 9_000 }], [{ from: 9_000, to: 18_000 }], []]);
  await plan.expectAllFree();
});

test.each([0, 1, 2])(
  "when engine %i crashes during its segment, the plan fails and no memory leaks",
  async (index) => {
    const plan = await PlanFixture.create();
    const opening = plan.run.open();
    await plan.untilRunning(index);
    plan.engines[index]!.server.crash();
    const opened = await opening;
    if (opened.isOk()) {
      expect(await readText(opened)).not.toBe(expectedText());
    } else {
      expect(opened.error).toMatchObject({
        upstream: String(index),
        verdict: "may_have_run",
      });
    }
    await plan.expectAllFree();
  },
);

test.each([[0, "not_run"], [1, "may_have_run"], [2, "may_have_run"]])(
  "when engine %i refuses its segment, the verdict is %s",
  async (index, verdict) => {
    const plan = await PlanFixture.create();
    await plan.engines[index]!.client.release(PLAN);
    const opened = await plan.run.open();
    expect(opened._unsafeUnwrapErr()).toMatchObject({
      upstream: String(index),
      verdict,
      crashed: false,
    });
    await plan.expectAllFree();
  },
);

test("when an engine loses a finished segment, the next one does not start", async () => {
  const plan = await PlanFixture.create();
  const opening = plan.run.open();
  await plan.untilRunning(1);
  plan.engines[0]!.server.crash();
  const failed = (await opening)._unsafeUnwrapErr();
  expect(failed.verdict).toBe("may_have_run");
  expect(plan.engines[2]!.server.streams).toBe(0);
  await plan.expectAllFree();
});

test("when an engine crashes after its segment, the running answer ends with `plan_broken`", async () => {
  const plan = await PlanFixture.create();
  const opened = await plan.run.open();
  plan.engines[0]!.server.crash();
  const events = await readAll(opened._unsafeUnwrap());
  expect(events.at(-1)).toMatchObject({ type: "error", code: "plan_broken" });
  await plan.expectAllFree();
});

test.each<[EngineControl["answer_fault"]]>([
  [{ type: "silent" }],
  [{ type: "reset" }],
  [{ type: "truncated" }],
  [{ type: "doubled" }],
])("a segment whose connection is lost ($type) is resumed", async (fault) => {
  const plan = await PlanFixture.create(
    fault?.type === "silent" ? 500 : 20_000,
  );
  plan.engines[0]!.server.control({ answer_fault: fault });
  expect(await readText(await plan.run.open())).toBe(expectedText());
});

test("a segment that ran on other weights fails the plan", async () => {
  const plan = await PlanFixture.create();
  const { server } = plan.engines[0]!;
  server.control({ answer_fault: { type: "wrong_weights" } });
  expect((await plan.run.open())._unsafeUnwrapErr()).toMatchObject({
    upstream: "0",
    verdict: "may_have_run",
  });
});

test("a stopped plan starts no further segment", async () => {
  const plan = await PlanFixture.create();
  const opening = plan.run.open();
  await plan.untilRunning(0);
  plan.run.stop();
  expect((await opening).isErr()).toBe(true);
  expect(plan.engines[1]!.server.streams).toBe(0);
  await plan.expectAllFree();
});

test("a plan that is stopped before it starts runs nothing", async () => {
  const plan = await PlanFixture.create();
  plan.run.stop();
  expect((await plan.run.open())._unsafeUnwrapErr().verdict).toBe("not_run");
  expect(plan.engines[0]!.server.streams).toBe(0);
});

async function until(condition: () => boolean): Promise<void> {
  while (!condition()) {
    await new Promise((resolve) => setTimeout(resolve, 2));
  }
}
