import { expect, test } from "vitest";
import type { Digest, RequestId } from "../core/id.ts";
import type { Outcome } from "../core/request.ts";
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

/** A daemon with several engines, and a client that sends the same content again. */
class Poisoned {
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

  end(id: string, failure: Partial<Extract<Outcome, { type: "failed" }>>) {
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

test("content that has crashed one engine runs once at a time", () => {
  const poisoned = new Poisoned();
  poisoned.send("p1");
  poisoned.end("p1", { crashed: true });
  const second = poisoned.send("p2");
  expect(intentsOf(second, "start_attempt")).toEqual([]);
  expect(poisoned.core.board.requests.byId.get("p1" as RequestId)?.state)
    .toBe("running");
});

test("copies that are under way end when their content is refused", () => {
  const poisoned = new Poisoned();
  poisoned.send("p1");
  poisoned.send("p2");
  poisoned.send("p3");
  poisoned.end("p1", { crashed: true });
  poisoned.core.board.upstreams.byId.set(
    engineFixture("e9").id,
    engineFixture("e9"),
  );
  poisoned.core.board.quarantine.quarantined.set(DIGEST, poisoned.core.now);
  const after = poisoned.core.after(1);
  expect(intentsOf(after, "answer").map(({ problem }) => problem.code))
    .toEqual(["quarantined", "quarantined", "quarantined"]);
  expect(intentsOf(after, "cancel_attempt").length).toBeGreaterThan(0);
});

test("an answer that is gone after a silence counts as a crash", () => {
  const poisoned = new Poisoned();
  poisoned.send("p1");
  poisoned.end("p1", { cause: "upstream_silent" });
  poisoned.end("p1", { cause: "resume_failed", verdict: "not_run" });
  expect(poisoned.core.board.quarantine.suspects.has(DIGEST)).toBe(true);
});

test("a place stays taken while the same answer is connected to again", () => {
  const poisoned = new Poisoned();
  poisoned.core.board.quarantine.suspects.set(DIGEST, {
    crashes: ["e9/run-1"],
    upstreams: [],
    seenAt: poisoned.core.now,
  });
  poisoned.send("p1");
  poisoned.end("p1", { cause: "upstream_silent" });
  expect(intentsOf(poisoned.send("p2"), "start_attempt")).toEqual([]);
});
