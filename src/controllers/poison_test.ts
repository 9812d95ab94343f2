import { expect, test } from "vitest";
import type { AttemptId, Digest, RequestId } from "../core/id.ts";
import type { StepResult } from "../core/core.ts";
import {
  CoreFixture,
  engineFixture,
  intentsOf,
  promptFixture,
} from "../testing/fixtures.ts";
import { PlacementController } from "./placement_controller.ts";
import { QuarantineController } from "./quarantine_controller.ts";
import { RequestController } from "./request_controller.ts";

const ENGINES = ["e1", "e2", "e3", "e4"];

function create(): CoreFixture {
  const core = CoreFixture.create([
    QuarantineController.create(),
    PlacementController.create(),
    RequestController.create(),
  ]);
  core.add(...ENGINES.map((id) => engineFixture(id)));
  return core;
}

function started(result: StepResult) {
  return intentsOf(result, "start_attempt").map((intent) => ({
    req: intent.req,
    attempt: intent.attempt,
    upstream: intent.placement.upstream,
  }));
}

function crashed(req: RequestId, attempt: AttemptId) {
  const outcome = {
    type: "failed",
    cause: "upstream_crashed",
    verdict: "may_have_run",
    tokens: 0,
    crashed: true,
    detail: "Connection reset",
  } as const;
  return { type: "attempt_ended", req, attempt, outcome } as const;
}

function finished(run: Readonly<{ req: RequestId; attempt: AttemptId }>) {
  const outcome = { type: "ok", tokens: 10, status: 200 } as const;
  return { type: "attempt_ended", ...run, outcome } as const;
}

test("content that has crashed two engines is refused in every later request", () => {
  const core = create();
  const digest = promptFixture("poison").digest;
  const lost = new Set<string>();
  let refusals: readonly string[] = [];
  for (let i = 0; i < 6; i += 1) {
    const req = promptFixture(`poison-${i}`, { digest });
    let result = core.after(10, { type: "request_arrived", req });
    for (let [run] = started(result); run; [run] = started(result)) {
      lost.add(run.upstream);
      result = core.after(10, crashed(run.req, run.attempt));
    }
    refusals = intentsOf(result, "answer").map((one) => one.problem.code);
  }
  expect({ lost: lost.size, refusals }).toEqual({
    lost: 2,
    refusals: ["quarantined"],
  });
});

test("prompts that differ, but share a leading block that crashes engines, lose at most eight engines", () => {
  const core = create();
  const blocks = ["0123456789abcdef" as Digest];
  let lost = 0;
  for (let i = 0; i < 12; i += 1) {
    const req = promptFixture(`poison-${i}`, { blocks });
    let result = core.after(10, { type: "request_arrived", req });
    for (let [run] = started(result); run; [run] = started(result)) {
      lost += 1;
      core.add(engineFixture(`new-${lost}`));
      result = core.after(10, crashed(run.req, run.attempt));
    }
  }
  expect(lost).toBeLessThanOrEqual(8);
});

test("prompts that ran beside a poison request are retried on separate engines, and none is refused", () => {
  const core = create();
  const runs = Array.from({ length: 24 }, (_, i) =>
    started(
      core.step({ type: "request_arrived", req: promptFixture(`r${i}`) }),
    )).flat();
  const first = runs[0]!.upstream;
  const neighbours = runs.filter((run) => run.upstream === first);
  expect(neighbours.length).toBeGreaterThan(ENGINES.length);
  let result = core.after(
    10,
    ...neighbours.map((run) => crashed(run.req, run.attempt)),
  );
  let retried = 0;
  for (let again = started(result); again.length > 0; again = started(result)) {
    expect(new Set(again.map((run) => run.upstream)).size).toBe(again.length);
    expect(intentsOf(result, "answer")).toEqual([]);
    retried += again.length;
    result = core.after(200, ...again.map((run) => finished(run)));
  }
  expect(retried).toBe(neighbours.length);
  expect(core.board.quarantine.quarantined.size).toBe(0);
});

test("requests with the same content that arrive together use only two engines", () => {
  const core = create();
  const digest = promptFixture("poison").digest;
  const arrivals = Array.from({ length: 6 }, (_, index) => ({
    type: "request_arrived" as const,
    req: promptFixture(`poison-${index}`, { digest }),
  }));
  const runs = started(core.step(...arrivals));
  expect(runs).toHaveLength(6);
  expect(new Set(runs.map((run) => run.upstream)).size).toBe(2);
});

function silent(req: RequestId, attempt: AttemptId) {
  const outcome = {
    type: "failed",
    cause: "upstream_silent",
    verdict: "may_have_run",
    tokens: 0,
    crashed: false,
    detail: "Nothing came in time",
  } as const;
  return { type: "attempt_ended", req, attempt, outcome } as const;
}

test("content that has crashed one engine and then left another one silent is not placed on a third", () => {
  const core = create();
  const req = promptFixture("poison");
  const [first] = started(core.step({ type: "request_arrived", req }));
  const [second] = started(
    core.after(10, crashed(first!.req, first!.attempt)),
  );
  expect(second!.upstream).not.toBe(first!.upstream);
  // The connection is tried once more; after that, the engine counts as possibly crashed by the content.
  const [again] = started(
    core.after(2_000, silent(second!.req, second!.attempt)),
  );
  expect(again!.upstream).toBe(second!.upstream);
  const last = core.after(2_000, silent(again!.req, again!.attempt));
  expect(started(last)).toEqual([]);
  expect(intentsOf(last, "answer").map((one) => one.problem.verdict))
    .toEqual(["may_have_run"]);
});
