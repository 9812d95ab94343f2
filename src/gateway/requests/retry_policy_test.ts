import { describe, expect, test } from "vitest";
import type { ServiceId } from "../../core/id.ts";
import type { Timestamp } from "../../core/time.ts";
import type { Verdict } from "../../core/verdict.ts";
import { RetryBudget } from "./retry_budget.ts";
import { decideRetry, type RetryState } from "./retry_policy.ts";
import type { Route, RouteKind } from "../serving/serving_config.ts";

function route(kind: RouteKind, resumable = false): Route {
  return {
    name: "r",
    host: "h",
    prefix: "/",
    kind,
    backends: [],
    timeoutMs: 1_000,
    targetMs: 300,
    pauseMs: 250,
    rank: 1,
    maxAttempts: 2,
    open: false,
    resumable,
  };
}

function decide(of: Route, verdict: Verdict, state: Partial<RetryState> = {}) {
  const failure = {
    cause: "upstream_refused",
    verdict,
    detail: "",
    upstreamAtFault: false,
  } as const;
  return decideRetry(of, failure, {
    placed: 1,
    possibleRuns: verdict === "not_run" ? 0 : 1,
    leftMs: 500,
    ...state,
  });
}

describe("retry decision", () => {
  test("depends on the route's kind and on the verdict", () => {
    const table = [
      route("once"),
      route("repeatable"),
      route("stream"),
      route("stream", true),
    ].map((of) => [
      `${of.kind}${of.resumable ? ", resumable" : ""}`,
      decide(of, "not_run").type,
      decide(of, "may_have_run").type,
      decide(of, "ran").type,
    ]);
    expect(table).toMatchInlineSnapshot(`
      [
        [
          "once",
          "retry",
          "give_up",
          "give_up",
        ],
        [
          "repeatable",
          "retry",
          "retry",
          "retry",
        ],
        [
          "stream",
          "retry",
          "give_up",
          "give_up",
        ],
        [
          "stream, resumable",
          "retry",
          "retry",
          "retry",
        ],
      ]
    `);
  });

  test("gives up once the route's number of runs is reached", () => {
    expect(decide(route("repeatable"), "ran", { possibleRuns: 2 }).type)
      .toBe("give_up");
  });

  test("gives up when too little time is left", () => {
    expect(decide(route("repeatable"), "ran", { leftMs: 10 }))
      .toEqual({ type: "give_up", code: "deadline_exceeded" });
  });
});

/** Uptime of a process that has run for many budget windows. */
const OLD_MS = 600_000;

describe("retry budget", () => {
  const limits = { ratio: 0.2, slack: 200, windowMs: 10_000 };
  const service = "s" as ServiceId;

  test("all daemons together stay within the limits", () => {
    const daemons = 12;
    let sent = 0;
    for (let i = 0; i < daemons; i += 1) {
      const budget = RetryBudget.create(limits);
      for (let j = 0; j < 10; j += 1) budget.recordNew(service, 0 as Timestamp);
      const options = { daemons, ageMs: OLD_MS };
      while (budget.trySpend(service, 1 as Timestamp, options)) sent += 1;
    }
    expect(sent).toBeGreaterThan(100);
    expect(sent).toBeLessThanOrEqual(0.2 * 10 * daemons + 200);
  });

  test("daemons that were all killed and have not discovered each other yet stay within the limits", () => {
    const daemons = 109;
    let sent = 0;
    // Each daemon spends its whole budget, is killed, and spends again before it has discovered its peers.
    for (let i = 0; i < daemons; i += 1) {
      for (const ages of [[OLD_MS], [500, 5_000]]) {
        const budget = RetryBudget.create({ ...limits, slack: 340 });
        for (const ageMs of ages) {
          const options = { daemons: ageMs < 1_000 ? 1 : daemons, ageMs };
          while (budget.trySpend(service, 0 as Timestamp, options)) sent += 1;
        }
      }
    }
    expect(sent).toBeLessThanOrEqual(340);
  });

  test("a daemon may send some retries soon after its start", () => {
    const budget = RetryBudget.create(limits);
    const options = { daemons: 4, ageMs: 4_000 };
    let sent = 0;
    while (budget.trySpend(service, 0 as Timestamp, options)) sent += 1;
    expect(sent).toBe(15);
  });

  test("the budget is available again after the window", () => {
    const budget = RetryBudget.create(limits);
    const options = { daemons: 1, ageMs: OLD_MS };
    while (budget.trySpend(service, 0 as Timestamp, options));
    expect(budget.trySpend(service, 10_001 as Timestamp, options)).toBe(true);
  });
});
