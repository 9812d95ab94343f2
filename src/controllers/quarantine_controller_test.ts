import { expect, test } from "vitest";
import type { Digest, RequestId } from "../core/id.ts";
import type { Outcome } from "../core/request.ts";
import { addMs } from "../core/time.ts";
import {
  CoreFixture,
  engineFixture,
  intentsOf,
  promptFixture,
} from "../testing/fixtures.ts";
import { MembershipController } from "./membership_controller.ts";
import { PlacementController } from "./placement_controller.ts";
import { QuarantineController } from "./quarantine_controller.ts";
import { RequestController } from "./request_controller.ts";

const DIGEST = "crashes-engines" as Digest;

/** A daemon with three engines, to which requests with the same content are sent. */
class Fixture {
  readonly core = CoreFixture.create([
    MembershipController.create(),
    QuarantineController.create(),
    PlacementController.create(),
    RequestController.create(),
  ]);

  constructor() {
    this.core.add(...["e1", "e2", "e3"].map((id) => engineFixture(id)));
  }

  send(id: string) {
    const req = promptFixture(id, { digest: DIGEST });
    return this.core.after(1, { type: "request_arrived", req });
  }

  endAttempt(
    id: string,
    failure: Partial<Extract<Outcome, { type: "failed" }>>,
  ) {
    const req = id as RequestId;
    const attempt = this.core.board.requests.byId.get(req)!.attempt!.id;
    const outcome = {
      type: "failed",
      cause: "upstream_crashed",
      verdict: "may_have_run",
      tokens: 0,
      crashed: false,
      detail: "",
      ...failure,
    } as const;
    return this.core.after(1, { type: "attempt_ended", req, attempt, outcome });
  }
}

test("content that has crashed one engine runs in one request at a time", () => {
  const fixture = new Fixture();
  fixture.send("p1");
  fixture.endAttempt("p1", { crashed: true });
  const second = fixture.send("p2");
  expect(intentsOf(second, "start_attempt")).toEqual([]);
  expect(fixture.core.board.requests.byId.get("p1" as RequestId)?.state)
    .toBe("running");
});

test("requests in flight end when their content is quarantined", () => {
  const fixture = new Fixture();
  fixture.send("p1");
  fixture.send("p2");
  fixture.send("p3");
  fixture.endAttempt("p1", { crashed: true });
  fixture.core.board.upstreams.byId.set(
    engineFixture("e9").id,
    engineFixture("e9"),
  );
  fixture.core.board.quarantine.quarantined.set(DIGEST, fixture.core.now);
  const after = fixture.core.after(1);
  expect(intentsOf(after, "answer").map(({ problem }) => problem.code))
    .toEqual(["quarantined", "quarantined", "quarantined"]);
  expect(intentsOf(after, "cancel_attempt").length).toBeGreaterThan(0);
});

test("a response that can't be resumed after a silence counts as a crash", () => {
  const fixture = new Fixture();
  fixture.send("p1");
  fixture.endAttempt("p1", { cause: "upstream_silent" });
  fixture.endAttempt("p1", { cause: "resume_failed", verdict: "not_run" });
  expect(fixture.core.board.quarantine.suspects.has(DIGEST)).toBe(true);
});

test("a response that an engine lacks right after it was found alive counts as a crash only if its incarnation changes", () => {
  const fixture = new Fixture();
  const { board } = fixture.core;
  fixture.send("p1");
  const { upstream } = board.requests.byId.get("p1" as RequestId)!.attempt!
    .placement;
  fixture.endAttempt("p1", { cause: "answer_broken" });
  fixture.endAttempt("p1", { cause: "resume_failed", verdict: "not_run" });
  expect(board.quarantine.suspects.has(DIGEST)).toBe(false);
  board.upstreams.byId.delete(upstream);
  fixture.core.after(1);
  expect(board.quarantine.suspects.has(DIGEST)).toBe(true);
});

test("an engine that can't be reached after another engine fell silent does not count as crashed", () => {
  const fixture = new Fixture();
  fixture.send("p1");
  fixture.endAttempt("p1", { cause: "upstream_silent" });
  fixture.endAttempt("p1", { cause: "upstream_silent" });
  fixture.endAttempt("p1", { cause: "connect_failed", verdict: "not_run" });
  expect(fixture.core.board.quarantine.suspects.has(DIGEST)).toBe(false);
});

test("a placement stays in use while the daemon reconnects to the same response", () => {
  const fixture = new Fixture();
  fixture.core.board.quarantine.suspects.set(DIGEST, {
    crashes: ["e9/run-1"],
    upstreams: [],
    seenAt: fixture.core.now,
  });
  fixture.send("p1");
  fixture.endAttempt("p1", { cause: "upstream_silent" });
  expect(intentsOf(fixture.send("p2"), "start_attempt")).toEqual([]);
});

test("a crash of an engine's next incarnation counts before that incarnation is known", () => {
  const fixture = new Fixture();
  fixture.send("p1");
  fixture.endAttempt("p1", { crashed: true });
  const { core } = fixture;
  const { upstream } = core.board.requests.byId.get("p1" as RequestId)!
    .attempt!.placement;
  core.board.quarantine.suspects.set(DIGEST, {
    crashes: [`${upstream}/${upstream}-run-1`],
    upstreams: [upstream],
    seenAt: addMs(core.now, -1),
  });
  fixture.endAttempt("p1", { crashed: true });
  expect(core.board.quarantine.quarantined.has(DIGEST)).toBe(true);
});
