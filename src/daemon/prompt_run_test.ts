import { errAsync, okAsync } from "neverthrow";
import { expect, test } from "vitest";
import { Counters } from "../core/counters.ts";
import type { Event } from "../core/event.ts";
import type { AttemptId } from "../core/id.ts";
import type { EngineClient, EngineError } from "../engine/engine_client.ts";
import { engineFixture, promptFixture, START } from "../testing/fixtures.ts";
import { PromptRun, type StartAttempt } from "./prompt_run.ts";

const ENGINE = engineFixture("e1");
const BROKEN: EngineError = {
  code: "broken",
  verdict: "may_have_run",
  detail: "Connection reset",
};

async function outcomeWith(state: ReturnType<EngineClient["state"]>) {
  const req = promptFixture("r1");
  const intent: StartAttempt = {
    type: "start_attempt",
    req: req.id,
    attempt: "a1" as AttemptId,
    placement: { upstream: ENGINE.id, priority: 0 },
    weights: { model: req.model, version: "2" as never },
    deadlineAt: req.deadlineAt,
    ranUnder: { revision: 0 as never },
    mode: "fresh",
  };
  const posted: Event[] = [];
  await PromptRun.create({
    intent,
    exchange: {
      kind: "prompt",
      req,
      writer: {} as never,
      resumedAfter: 0,
      relayedTokens: [],
    },
    engine: {
      generate: () => errAsync(BROKEN),
      state: () => state,
    } as unknown as EngineClient,
    incarnation: ENGINE.incarnation,
    engineAt: () => undefined,
    counters: Counters.create(),
    now: () => START,
    silenceMs: 1_000,
    post: (event) => posted.push(event),
  }).run();
  const [event] = posted;
  if (event?.type !== "attempt_ended" || event.outcome.type === "ok") return;
  return `${event.outcome.cause} ${event.outcome.crashed}`;
}

test("a lost connection is a crash unless the engine responds with the same incarnation", async () => {
  const alive = ENGINE.engine!;
  const restarted = { ...alive, incarnation: "run-2" as never };
  const gone: EngineError = {
    ...BROKEN,
    code: "connect_failed",
    verdict: "not_run",
  };
  expect(await outcomeWith(okAsync(alive))).toBe("answer_broken false");
  expect(await outcomeWith(okAsync(restarted))).toBe("upstream_crashed true");
  expect(await outcomeWith(errAsync(gone))).toBe("upstream_crashed true");
});
