import { expect, test } from "vitest";
import type {
  ClassId,
  Digest,
  IdempotencyKey,
  RequestId,
  ServiceId,
  TeamId,
} from "../core/id.ts";
import { Random } from "../core/random.ts";
import { addMs } from "../core/time.ts";
import { issueKeyPrefix } from "../fold/issued_key.ts";
import { FakeFleet } from "../testing/fake_fleet.ts";
import type { LogMode } from "../testing/fake_log.ts";

const CONFIG = {
  models: [],
  groups: [],
  services: [{ id: "stock", once: ["POST /reserve"], timeoutMs: 2_000 }],
  teams: ["a", "b"].map((id) => ({
    id,
    share: 1,
    tokenDigests: [],
    models: [],
    services: [],
  })),
  classes: [{
    id: "call",
    urgency: 0,
    deadlineMs: 5_000,
    maxDeadlineMs: 5_000,
  }],
  limits: { keyWindowMs: 60_000, clockSkewMs: 1_000 },
};

type Call = Readonly<
  { vm: number; key: string | undefined; body?: string; team?: string }
>;

/** Three daemons that have read the whole log; the outcome of each call is a short string. */
class Fixture {
  readonly fleet = FakeFleet.create({
    seed: 3,
    daemons: 3,
    retentionMs: 80_000,
    config: JSON.stringify(CONFIG),
    serviceMode: "runs",
  });
  #calls = 0;

  constructor() {
    this.wait(3_000);
  }

  wait(ms: number): void {
    this.fleet.time.run(ms);
  }

  clientKey(ageMs = 0): string {
    return Random.create(9).uuid(addMs(this.fleet.time.now, -ageMs));
  }

  issuedKey(vm: number, team = "a"): string {
    const { self, claims } = this.fleet.daemons[vm]!.core.board;
    const at = this.fleet.time.now;
    const issue = { home: self.id, at, team: team as TeamId };
    return `${issueKeyPrefix(issue, claims.keySecret)}.1`;
  }

  call({ vm, key, body = "x", team = "a" }: Call): string {
    this.#calls += 1;
    const id = `r${this.#calls}` as RequestId;
    this.fleet.call(vm, {
      kind: "call",
      id,
      team: team as TeamId,
      classId: "call" as ClassId,
      digest: body as Digest,
      service: "stock" as ServiceId,
      method: "POST",
      path: "/reserve",
      key: key as IdempotencyKey | undefined,
    });
    return id;
  }

  /** Returns `open`, `ran`, `recorded`, or the code and verdict of a problem. */
  outcome(id: string): string {
    const [answer] = this.fleet.answers.get(id as RequestId) ?? [];
    if (answer === undefined) {
      return this.fleet.service.runsByRequest.has(id as RequestId)
        ? "ran"
        : "open";
    }
    if (answer.type === "answer_recorded") return "recorded";
    return `${answer.problem.code} ${answer.problem.verdict}`;
  }

  /** Makes calls one after another and returns their outcomes. */
  callInSequence(...calls: readonly Call[]): readonly string[] {
    return calls.map((call) => {
      const id = this.call(call);
      this.wait(1_000);
      return this.outcome(id);
    });
  }

  runs(key: string, team = "a"): number {
    return this.fleet.service.runsByKey.get(`${team}/${key}`) ?? 0;
  }
}

test("each state of a key has its own outcome or problem code", () => {
  const fixture = new Fixture();
  const key = fixture.clientKey();
  expect(fixture.callInSequence(
    { vm: 0, key },
    { vm: 1, key },
    { vm: 2, key, body: "y" },
    { vm: 1, key, team: "b" },
    { vm: 0, key: undefined },
    { vm: 0, key: "order-17" },
    { vm: 0, key: fixture.clientKey(61_000) },
    { vm: 0, key: fixture.clientKey(-60_000) },
  )).toMatchInlineSnapshot(`
    [
      "ran",
      "recorded",
      "key_reused not_run",
      "ran",
      "key_missing not_run",
      "key_malformed not_run",
      "key_expired may_have_run",
      "key_in_future not_run",
    ]
  `);
  expect(fixture.runs(key)).toBe(1);
});

test("of two daemons that get the same key at the same instant, only one runs the call", () => {
  const fixture = new Fixture();
  const key = fixture.clientKey();
  const ids = [fixture.call({ vm: 0, key }), fixture.call({ vm: 1, key })];
  fixture.wait(1_000);
  expect(ids.map((id) => fixture.outcome(id)).sort()).toEqual([
    "claim_pending may_have_run",
    "ran",
  ]);
  expect(fixture.runs(key)).toBe(1);
});

test("a holder that freezes between its claim and the call past the deadline never runs the call, and neither does another daemon", () => {
  const fixture = new Fixture();
  const key = fixture.clientKey();
  const id = fixture.call({ vm: 0, key });
  const { results } = fixture.fleet.daemons[0]!.core.board.claims;
  for (let ms = 0; ms < 500 && !results.has(id as RequestId); ms += 1) {
    fixture.wait(1);
  }
  expect(results.get(id as RequestId)).toEqual({ type: "held" });
  fixture.fleet.daemons[0]!.freeze(20_000);
  expect(fixture.callInSequence({ vm: 1, key })).toEqual([
    "claim_pending may_have_run",
  ]);
  fixture.wait(10_000);
  expect(fixture.callInSequence({ vm: 1, key })).toEqual([
    "already_tried may_have_run",
  ]);
  fixture.wait(20_000);
  expect([fixture.runs(key), fixture.outcome(id)]).toMatchInlineSnapshot(`
    [
      0,
      "deadline_exceeded not_run",
    ]
  `);
});

test.each<[LogMode, string]>([
  ["down", "claims_unavailable not_run"],
  ["silent", "claims_unavailable not_run"],
  ["deaf", "ran"],
])(
  "while the log is %s, a call with a client's key ends as %s",
  (mode, expected) => {
    const fixture = new Fixture();
    const key = fixture.clientKey();
    fixture.fleet.log.mode = mode;
    const id = fixture.call({ vm: 0, key });
    fixture.wait(4_000);
    expect(fixture.outcome(id)).toBe(expected);
    fixture.fleet.log.mode = "up";
    fixture.wait(15_000);
    const again = fixture.callInSequence({ vm: 1, key });
    expect(again).toEqual([expected === "ran" ? "recorded" : "ran"]);
    expect(fixture.runs(key)).toBe(1);
  },
);

test("in a longer log outage a client's key is refused at once, and issued keys still run at their home", () => {
  const fixture = new Fixture();
  fixture.fleet.log.mode = "down";
  fixture.wait(3_000);
  const id = fixture.call({ vm: 0, key: fixture.clientKey() });
  fixture.wait(5);
  expect(fixture.outcome(id)).toBe("claims_unavailable not_run");
  const key = fixture.issuedKey(0);
  expect(fixture.callInSequence(
    { vm: 0, key },
    { vm: 0, key },
    { vm: 0, key, body: "y" },
    { vm: 0, key: fixture.issuedKey(0, "b") },
  )).toMatchInlineSnapshot(`
    [
      "ran",
      "recorded",
      "key_reused not_run",
      "key_malformed not_run",
    ]
  `);
  const forwarded = fixture.issuedKey(1);
  fixture.call({ vm: 0, key: forwarded });
  fixture.wait(1_000);
  expect([fixture.runs(key), fixture.runs(forwarded)]).toEqual([1, 1]);
});

test("a claim that is read back after its time-out is released, and the key can run later", () => {
  const fixture = new Fixture();
  const key = fixture.clientKey();
  fixture.fleet.log.mode = "unreadable";
  const id = fixture.call({ vm: 0, key });
  fixture.wait(5_000);
  fixture.fleet.log.mode = "up";
  fixture.wait(15_000);
  expect(fixture.outcome(id)).toBe("claims_unavailable not_run");
  expect(fixture.callInSequence({ vm: 1, key })).toEqual(["ran"]);
  expect(fixture.runs(key)).toBe(1);
});

test("without its home an issued key never runs again and returns the recorded outcome", () => {
  const fixture = new Fixture();
  const [ran, unused] = [fixture.issuedKey(0), fixture.issuedKey(0, "b")];
  fixture.callInSequence({ vm: 0, key: ran });
  fixture.fleet.kill(0, 500);
  fixture.wait(6_000);
  expect(fixture.callInSequence(
    { vm: 1, key: ran },
    { vm: 0, key: ran },
    { vm: 1, key: unused, team: "b" },
  )).toMatchInlineSnapshot(`
    [
      "recorded",
      "recorded",
      "key_home_lost may_have_run",
    ]
  `);
  expect([fixture.runs(ran), fixture.runs(unused, "b")]).toEqual([1, 0]);
});

test("after a restart of every VM a key that has run is answered from the log", () => {
  const fixture = new Fixture();
  const [ran, running] = [fixture.clientKey(), fixture.clientKey(1)];
  fixture.callInSequence({ vm: 0, key: ran });
  const id = fixture.call({ vm: 1, key: running }) as RequestId;
  const { requests } = fixture.fleet.daemons[1]!.core.board;
  for (let ms = 0; ms < 500; ms += 1) {
    if (requests.byId.get(id)?.state === "running") break;
    fixture.wait(1);
  }
  for (const vm of [0, 1, 2]) fixture.fleet.kill(vm, 200);
  fixture.wait(15_000);
  expect(fixture.callInSequence({ vm: 2, key: ran }, { vm: 2, key: running }))
    .toEqual([
      "recorded",
      "already_tried may_have_run",
    ]);
  expect(fixture.runs(ran)).toBe(1);
  expect(fixture.runs(running)).toBeLessThan(2);
});

test("a daemon that has not read the whole key window refuses calls with not_run", () => {
  const fixture = new Fixture();
  fixture.fleet.log.mode = "silent";
  fixture.fleet.kill(0, 100);
  fixture.wait(3_000);
  expect(fixture.callInSequence({ vm: 0, key: fixture.clientKey() })).toEqual([
    "claims_not_read not_run",
  ]);
});

test("a daemon whose clock lags claims no key whose first claim has expired", () => {
  const fixture = new Fixture();
  const key = fixture.clientKey();
  fixture.callInSequence({ vm: 1, key });
  fixture.wait(85_000);
  fixture.fleet.kill(0, 1);
  fixture.wait(2);
  fixture.fleet.daemons[0]!.clockLagMs = 60_000;
  fixture.wait(5_000);
  expect(fixture.callInSequence({ vm: 0, key })).toEqual([
    "key_expired may_have_run",
  ]);
  expect(fixture.runs(key)).toBe(1);
});
