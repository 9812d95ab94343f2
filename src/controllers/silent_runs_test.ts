import { expect, test } from "vitest";
import type {
  AttemptId,
  Incarnation,
  RequestId,
  UpstreamId,
} from "../core/id.ts";
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
const DIGEST = promptFixture("poison").digest;

/** A daemon whose engines report only when the test calls `markHeard`. */
class EnginesFixture {
  readonly core = CoreFixture.create([
    QuarantineController.create(),
    PlacementController.create(),
    RequestController.create(),
  ]);

  constructor() {
    this.core.add(...ENGINES.map((id) => engineFixture(id)));
  }

  /** Sets the time of the last report to now for all engines except the silent ones. */
  markHeard(silent: readonly UpstreamId[] = []): void {
    for (const [id, upstream] of this.core.board.upstreams.byId) {
      if (silent.includes(id)) continue;
      const lastResponseAt = this.core.now;
      this.core.board.upstreams.byId.set(id, {
        ...upstream,
        lastResponseAt,
      });
    }
  }

  /** Restarts an engine with a new incarnation. */
  restart(id: UpstreamId): void {
    const upstream = this.core.board.upstreams.byId.get(id)!;
    this.core.board.upstreams.byId.set(id, {
      ...upstream,
      incarnation: `${upstream.incarnation}-next` as Incarnation,
      lastResponseAt: this.core.now,
    });
  }

  send(id: string) {
    const req = promptFixture(id, { digest: DIGEST });
    return started(this.core.after(10, { type: "request_arrived", req }));
  }

  fail(run: StartedAttempt, cause: "upstream_silent" | "upstream_crashed") {
    const outcome = {
      type: "failed",
      cause,
      verdict: "may_have_run",
      tokens: 0,
      crashed: cause === "upstream_crashed",
      detail: "",
    } as const;
    const { req, attempt } = run;
    return started(
      this.core.after(2_000, { type: "attempt_ended", req, attempt, outcome }),
    );
  }
}

type StartedAttempt = Readonly<
  { req: RequestId; attempt: AttemptId; upstream: UpstreamId }
>;

function started(result: StepResult): readonly StartedAttempt[] {
  return intentsOf(result, "start_attempt").map((intent) => ({
    req: intent.req,
    attempt: intent.attempt,
    upstream: intent.placement.upstream,
  }));
}

/** The content crashes one engine and silences another; a copy of it arrives in between. */
function crashedThenSilent(rig: EnginesFixture) {
  const [first] = rig.send("a");
  const [second] = rig.fail(first!, "upstream_crashed");
  const copy = rig.send("b");
  // The request reattaches once, then fails.
  const [again] = rig.fail(second!, "upstream_silent");
  const after = rig.fail(again!, "upstream_silent");
  return { silent: second!.upstream, copy, after };
}

test("a copy waits while content that crashed one engine may still crash a silent engine", () => {
  const rig = new EnginesFixture();
  const { copy, after } = crashedThenSilent(rig);
  expect(copy).toEqual([]);
  expect(after).toEqual([]);
  expect(started(rig.core.after(2_500))).toEqual([]);
  expect(rig.core.board.requests.byId.get("b" as RequestId)?.state)
    .toBe("placing");
});

test("the waiting copy is refused when the silent engine restarts with a new incarnation", () => {
  const rig = new EnginesFixture();
  const { silent } = crashedThenSilent(rig);
  rig.restart(silent);
  const answers = intentsOf(rig.core.after(10), "answer");
  expect(answers.map((answer) => answer.problem.code)).toEqual(["quarantined"]);
});

test("the waiting copy is started once the silent engine has answered again for a while", () => {
  const rig = new EnginesFixture();
  crashedThenSilent(rig);
  rig.core.after(10);
  rig.markHeard();
  expect(started(rig.core.after(900))).toEqual([]);
  rig.core.after(200);
  rig.markHeard();
  rig.core.after(1);
  const [third] = started(rig.core.after(2_500));
  expect(third?.req).toBe("b");
});

test("a frozen engine that crashes after its attempt was cancelled counts, and no third engine is tried", () => {
  const rig = new EnginesFixture();
  const [first] = rig.send("a");
  const [again] = rig.fail(first!, "upstream_silent");
  const [second] = rig.fail(again!, "upstream_silent");
  expect(second!.upstream).not.toBe(first!.upstream);
  rig.restart(first!.upstream);
  expect(rig.fail(second!, "upstream_crashed")).toEqual([]);
  expect(rig.core.board.quarantine.quarantined.has(DIGEST)).toBe(true);
});

test("an engine silent for about a second gets no prompt while others answer", () => {
  const rig = new EnginesFixture();
  const [first] = rig.send("a");
  const frozen = first!.upstream;
  rig.markHeard();
  for (let i = 0; i < 6; i += 1) {
    rig.core.after(200);
    rig.markHeard([frozen]);
  }
  const places = Array.from({ length: 8 }, (_, i) => {
    const req = promptFixture(`p${i}`);
    return started(rig.core.after(1, { type: "request_arrived", req }))[0]!
      .upstream;
  });
  expect(places).not.toContain(frozen);
  // Its running stream is not reattached to either.
  const [second] = rig.fail(first!, "upstream_silent");
  expect(second!.upstream).not.toBe(frozen);
});

test("engines stay in use when none of them has reported lately", () => {
  const rig = new EnginesFixture();
  rig.markHeard();
  rig.core.after(5_000);
  expect(rig.send("a")).toHaveLength(1);
});
