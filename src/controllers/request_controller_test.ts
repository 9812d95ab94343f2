import { expect, test } from "vitest";
import type { AttemptId, RequestId, UpstreamId } from "../core/id.ts";
import type { Outcome } from "../core/request.ts";
import type { StepResult } from "../core/core.ts";
import {
  callFixture,
  CoreFixture,
  engineFixture,
  intentsOf,
  promptFixture,
  serviceFixture,
  servingFixture,
} from "../testing/fixtures.ts";
import { PlacementController } from "./placement_controller.ts";
import { RequestController } from "./request_controller.ts";
import { UpstreamController } from "./upstream_controller.ts";
import { addMs } from "../core/time.ts";

function create(
  limits: Parameters<typeof servingFixture>[0] = {},
): CoreFixture {
  const core = CoreFixture.create([
    UpstreamController.create(),
    PlacementController.create(),
    RequestController.create(),
  ], servingFixture(limits));
  core.add(
    engineFixture("e1"),
    engineFixture("e2"),
    engineFixture("e3"),
    serviceFixture("s1"),
  );
  return core;
}

function started(result: StepResult) {
  const [intent] = intentsOf(result, "start_attempt");
  if (intent === undefined) throw new Error("No attempt was started");
  return intent;
}

function ended(req: string, attempt: AttemptId, outcome: Outcome) {
  return {
    type: "attempt_ended",
    req: req as RequestId,
    attempt,
    outcome,
  } as const;
}

function failed(
  overrides: Partial<Extract<Outcome, { type: "failed" }>> = {},
): Outcome {
  return {
    type: "failed",
    cause: "upstream_crashed",
    verdict: "may_have_run",
    tokens: 0,
    crashed: true,
    detail: "Connection reset",
    ...overrides,
  };
}

function claim(core: CoreFixture, id: string): void {
  core.board.claims.results.set(id as RequestId, { type: "held" });
}

test("a prompt is placed and run, and its entry is removed at the end", () => {
  const core = create();
  const attempt = started(
    core.step({ type: "request_arrived", req: promptFixture("r1") }),
  );
  core.step(
    ended("r1", attempt.attempt, { type: "ok", tokens: 5, status: 200 }),
  );
  expect(attempt.weights).toEqual({ model: "sage", version: "2" });
  expect(core.board.requests.byId.size).toBe(0);
  expect(core.board.counters.counted.requests_finished).toBe(1);
});

test("each kind of refusal on arrival is answered at once and counted", () => {
  const cases = [
    promptFixture("model", { model: "none" as never }),
    promptFixture("version", { version: "9" as never }),
    promptFixture("adapter", { adapter: "none" as never }),
    promptFixture("forbidden", { team: "buyers" as never }),
    promptFixture("team", { team: "none" as never }),
    promptFixture("late", { deadlineAt: 1 as never }),
    callFixture("service", { service: "none" as never }),
    callFixture("key", { key: undefined }),
  ];
  const core = create();
  const answers = cases.flatMap((req) =>
    intentsOf(core.step({ type: "request_arrived", req }), "answer")
  );
  expect(
    answers.map(({ req, problem }) => [req, problem.code, problem.verdict]),
  )
    .toMatchInlineSnapshot(`
      [
        [
          "model",
          "unknown_model",
          "not_run",
        ],
        [
          "version",
          "unknown_model",
          "not_run",
        ],
        [
          "adapter",
          "unknown_model",
          "not_run",
        ],
        [
          "forbidden",
          "forbidden_model",
          "not_run",
        ],
        [
          "team",
          "unauthorized",
          "not_run",
        ],
        [
          "late",
          "deadline_exceeded",
          "not_run",
        ],
        [
          "service",
          "unknown_service",
          "not_run",
        ],
        [
          "key",
          "key_missing",
          "not_run",
        ],
      ]
    `);
  expect(core.board.counters.refused.unknown_model).toBe(3);
});

test("a prompt whose engine crashed continues on another engine after the tokens already sent", () => {
  const core = create();
  const first = started(
    core.step({ type: "request_arrived", req: promptFixture("r1") }),
  );
  const second = started(
    core.step(ended("r1", first.attempt, failed({ tokens: 7 }))),
  );
  expect(second.mode).toBe("continue");
  expect(second.placement.upstream).not.toBe(first.placement.upstream);
  expect(core.board.counters.retried.upstream_crashed).toBe(1);
});

test("a prompt whose connection goes silent reattaches once, then is placed again", () => {
  const core = create();
  const silent = failed({ cause: "upstream_silent", crashed: false });
  const first = started(
    core.step({ type: "request_arrived", req: promptFixture("r1") }),
  );
  const resumed = started(core.step(ended("r1", first.attempt, silent)));
  expect([resumed.mode, resumed.attempt]).toEqual(["resume", first.attempt]);
  const other = started(core.step(ended("r1", first.attempt, silent)));
  expect(other.mode).toBe("fresh");
  expect(other.attempt).not.toBe(first.attempt);
});

test("a call that must run at most once waits for its claim and is retried only after not_run", () => {
  const core = create();
  const arrived = core.step({
    type: "request_arrived",
    req: callFixture("c1"),
  });
  expect(intentsOf(arrived, "start_attempt")).toEqual([]);
  claim(core, "c1");
  const first = started(core.step());
  core.add(serviceFixture("s2"));
  const refused = failed({
    cause: "upstream_refused",
    verdict: "not_run",
    crashed: false,
  });
  const second = started(core.step(ended("c1", first.attempt, refused)));
  const result = core.step(
    ended("c1", second.attempt, failed({ crashed: false })),
  );
  expect(intentsOf(result, "start_attempt")).toEqual([]);
  expect(intentsOf(result, "answer")[0]?.problem).toMatchObject({
    code: "upstream_failed",
    verdict: "may_have_run",
  });
});

test("a request that reaches its deadline is answered with a problem and its attempt is cancelled", () => {
  const core = create();
  const result = core.step({
    type: "request_arrived",
    req: promptFixture("r1"),
  });
  expect(result.wakeAt).toBe(addMs(core.now, 10_000));
  const late = core.after(10_000);
  expect(intentsOf(late, "cancel_attempt")).toHaveLength(1);
  expect(intentsOf(late, "answer")[0]?.problem).toMatchObject({
    code: "deadline_exceeded",
    verdict: "may_have_run",
  });
});

test("a call without a claim at its deadline fails as not_run and can't start later", () => {
  const core = create();
  core.step({ type: "request_arrived", req: callFixture("c1") });
  const late = core.after(10_000);
  expect(intentsOf(late, "answer")[0]?.problem.verdict).toBe("not_run");
  claim(core, "c1");
  expect(intentsOf(core.step(), "start_attempt")).toEqual([]);
});

test("an exhausted retry budget fails the request with a Retry-After time", () => {
  const core = create({ maxAttempts: 10 });
  const codes: string[] = [];
  for (let index = 0; index < 20; index += 1) {
    const id = `r${index}`;
    let result = core.step({ type: "request_arrived", req: promptFixture(id) });
    while (intentsOf(result, "answer").length === 0) {
      core.add(engineFixture("e1"), engineFixture("e2"), engineFixture("e3"));
      const [next] = intentsOf(result, "start_attempt");
      if (next === undefined) break;
      result = core.step(ended(id, next.attempt, failed()));
    }
    const [answer] = intentsOf(result, "answer");
    codes.push(`${answer?.problem.code} ${answer?.problem.retryAfterMs}`);
  }
  expect(codes.at(-1)).toBe("retry_budget 2000");
  const retried = core.board.counters.retried.upstream_crashed;
  expect(retried).toBeLessThanOrEqual(32);
});

test("a resumed stream that fails is not run again, since its prompt is not available", () => {
  const core = create();
  const running = {
    attempt: "a1" as AttemptId,
    upstream: "e1" as UpstreamId,
    ranUnder: {
      revision: 0 as never,
      weights: { model: "sage", version: "2" } as never,
    },
    tokens: 3,
  };
  const resumed = started(
    core.step({ type: "request_resumed", req: promptFixture("r1"), running }),
  );
  expect(resumed.mode).toBe("resume");
  const lost = failed({ cause: "resume_failed", crashed: false, tokens: 3 });
  const result = core.step(ended("r1", resumed.attempt, lost));
  expect(intentsOf(result, "answer")[0]?.problem.verdict).toBe("may_have_run");
});

test("an attempt that may still run is cancelled when its prompt is placed on another engine", () => {
  const core = create();
  const first = started(
    core.step({ type: "request_arrived", req: promptFixture("r1") }),
  );
  const silent = failed({ cause: "upstream_silent", crashed: false });
  const again = started(core.after(10, ended("r1", first.attempt, silent)));
  const elsewhere = core.after(10, ended("r1", again.attempt, silent));
  expect(again.mode).toBe("resume");
  expect(started(elsewhere).attempt).not.toBe(first.attempt);
  expect(intentsOf(elsewhere, "cancel_attempt")).toEqual([{
    type: "cancel_attempt",
    req: "r1",
    attempt: first.attempt,
    upstream: first.placement.upstream,
  }]);
});
