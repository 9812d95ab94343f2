import { expect, test } from "vitest";
import type { Digest, RequestId } from "../core/id.ts";
import type { Outcome } from "../core/request.ts";
import { addMs, HOUR_MS } from "../core/time.ts";
import type { Heartbeat } from "../gen/peer.ts";
import { blocksField } from "../scheduling/place_messages.ts";
import {
  CoreFixture,
  engineFixture,
  intentsOf,
  promptFixture,
} from "../testing/fixtures.ts";
import { createHeartbeat } from "./heartbeat.ts";
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

test("a crash of an engine's next run, before that is known, is not taken for the crash of its last run over another prompt", () => {
  const fixture = new Fixture();
  const blocks = blocksField(["0123456789abcdef" as Digest]);
  const suspects = ["e1", "e2", "e3"].flatMap((upstream) =>
    ["other-1", "other-2"].map((digest) => {
      const run = { upstream, incarnation: `${upstream}-run-1`, ...blocks };
      return { digest, ...run, atMs: fixture.core.now, silent: false };
    })
  );
  const heartbeat = createHeartbeat(fixture.core.board, {
    now: fixture.core.now,
    withConfig: false,
  });
  const value = { ...heartbeat, suspects };
  const body = { $case: "heartbeat", value } as const;
  const envelope = { from: "peer" as never, seq: 1, body };
  fixture.core.after(1, { type: "peer_message", envelope });
  fixture.core.after(1_000);
  fixture.send("p1");
  for (let i = 0; i < 2; i += 1) fixture.endAttempt("p1", { crashed: true });
  expect(fixture.core.board.quarantine.quarantined.has(DIGEST)).toBe(true);
});

/** Two daemons whose clocks differ, and which send each other heartbeats. */
class PairFixture {
  readonly cores = [0, HOUR_MS].map((ms) => {
    const core = CoreFixture.create([QuarantineController.create()]);
    core.now = addMs(core.now, ms);
    return core;
  });

  /** Steps both daemons once a second, and sends the heartbeats of the senders. */
  run(seconds: number, senders: readonly number[] = [0, 1]): void {
    for (let i = 0; i < seconds; i += 1) {
      for (const [index, core] of this.cores.entries()) {
        const sender = 1 - index;
        core.after(
          1_000,
          ...senders.includes(sender) ? [this.#from(sender)] : [],
        );
      }
    }
  }

  crash(...engines: readonly string[]): void {
    const value = {
      ...this.#heartbeat(0),
      suspects: engines.map((upstream) => ({
        digest: DIGEST,
        upstream,
        incarnation: "run-1",
        atMs: this.cores[0]!.now,
        silent: false,
      })),
    };
    this.cores[0]!.step(this.#message(value));
  }

  #from(index: number) {
    return this.#message(this.#heartbeat(index));
  }

  #heartbeat(index: number) {
    const { board, now } = this.cores[index]!;
    return createHeartbeat(board, { now, withConfig: false });
  }

  #message(value: Heartbeat) {
    const body = { $case: "heartbeat", value } as const;
    const envelope = { from: "peer", seq: 1, body };
    return { type: "peer_message", envelope } as const;
  }
}

test("two daemons don't keep a suspicion alive by telling each other of it", () => {
  const pair = new PairFixture();
  pair.crash("e1");
  pair.run(660);
  expect(pair.cores.map(({ board }) => board.quarantine.suspects.size))
    .toEqual([0, 0]);
});

test("a daemon that starts half an hour after two crashes learns of the quarantine, and it ends after an hour", () => {
  const pair = new PairFixture();
  const quarantined = () =>
    pair.cores.map(({ board }) => board.quarantine.quarantined.has(DIGEST));
  pair.crash("e1", "e2");
  pair.run(1_800, []);
  pair.run(1_700);
  expect(quarantined()).toEqual([true, true]);
  pair.run(160);
  expect(quarantined()).toEqual([false, false]);
});
