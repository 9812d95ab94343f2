import fc from "fast-check";
import { expect, test } from "vitest";
import type {
  ClassId,
  Digest,
  IdempotencyKey,
  RequestId,
  Revision,
  ServiceId,
  TeamId,
} from "../core/id.ts";
import { Random } from "../core/random.ts";
import { issueKeyPrefix } from "../fold/issued_key.ts";
import { CONFIG_STREAM } from "../fold/streams.ts";
import { FakeFleet } from "../testing/fake_fleet.ts";
import type { LogMode } from "../testing/fake_log.ts";
import { callBody } from "../testing/fake_service.ts";

const DAEMONS = 3;
const RUNS = 60;
const SEED = 20_261_204;
const RETENTION_MS = 80_000;
const QUIET_MS = 45_000;

const CONFIG = {
  models: [],
  groups: [],
  services: [{ id: "stock", once: ["POST /reserve"], timeoutMs: 2_000 }],
  teams: [{ id: "a", share: 1, tokenDigests: [], models: [], services: [] }],
  classes: [{
    id: "call",
    urgency: 0,
    deadlineMs: 5_000,
    maxDeadlineMs: 5_000,
  }],
  limits: { keyWindowMs: 60_000, clockSkewMs: 1_000 },
};

type Action =
  & Readonly<{ waitMs: number }>
  & (
    | Readonly<
      { type: "call"; vms: readonly number[]; key: number; body: number }
    >
    | Readonly<{ type: "freeze"; vm: number; ms: number }>
    | Readonly<{ type: "kill"; vm: number }>
    | Readonly<{ type: "cut"; vm: number; ms: number }>
    | Readonly<{ type: "log"; mode: LogMode; ms: number }>
    | Readonly<{ type: "publish"; stale: boolean; doubled: boolean }>
    | Readonly<{ type: "expire"; keep: number }>
  );

const vm = fc.integer({ min: 0, max: DAEMONS - 1 });
const waitMs = fc.oneof(
  fc.constant(0),
  fc.integer({ min: 1, max: 60 }),
  fc.integer({ min: 100, max: 6_000 }),
);
const ms = fc.oneof(
  fc.integer({ min: 10, max: 6_000 }),
  fc.integer({ min: 6_000, max: 100_000 }),
);
const mode = fc.constantFrom<LogMode>(
  "down",
  "deaf",
  "silent",
  "slow",
  "unreadable",
);

const call = fc.record({
  waitMs,
  type: fc.constant("call" as const),
  vms: fc.array(vm, { minLength: 1, maxLength: 2 }),
  key: fc.integer({ min: 0, max: 5 }),
  body: fc.constantFrom(0, 0, 0, 1),
});
const fault = fc.oneof(
  fc.record({ waitMs, type: fc.constant("freeze" as const), vm, ms }),
  fc.record({ waitMs, type: fc.constant("kill" as const), vm }),
  fc.record({ waitMs, type: fc.constant("cut" as const), vm, ms }),
  fc.record({ waitMs, type: fc.constant("log" as const), mode, ms }),
  fc.record({
    waitMs,
    type: fc.constant("publish" as const),
    stale: fc.boolean(),
    doubled: fc.boolean(),
  }),
  fc.record({
    waitMs,
    type: fc.constant("expire" as const),
    keep: fc.integer({ min: 0, max: 3 }),
  }),
);
const actions: fc.Arbitrary<Action[]> = fc.array(
  fc.oneof(call, fault),
  { minLength: 5, maxLength: 30 },
);

/** One run of a random plan against a fleet; keys are created on first use. */
class Run {
  readonly fleet: FakeFleet;
  readonly #random: Random;
  readonly #keys = new Map<number, IdempotencyKey>();
  readonly #revisions = new Map<string, Revision>();
  #requests = 0;

  constructor(seed: number) {
    this.#random = Random.create(seed);
    this.fleet = FakeFleet.create({
      seed,
      daemons: DAEMONS,
      retentionMs: RETENTION_MS,
      config: JSON.stringify(CONFIG),
    });
    this.advance(3_000);
  }

  advance(ms: number): void {
    this.fleet.time.run(ms, () => this.#checkNow());
  }

  act(action: Action): void {
    const { fleet } = this;
    switch (action.type) {
      case "call":
        for (const vm of action.vms) this.#call(vm, action);
        break;
      case "freeze":
        fleet.daemons[action.vm]?.freeze(action.ms);
        break;
      case "kill":
        if (fleet.daemons[action.vm]?.alive) fleet.kill(action.vm, 500);
        break;
      case "cut":
        fleet.cutOff(action.vm, action.ms);
        break;
      case "log":
        fleet.log.mode = action.mode;
        fleet.time.schedule(action.ms, () => fleet.log.mode = "up");
        break;
      case "publish":
        this.#publish(action);
        break;
      case "expire":
        this.#expire(action.keep);
    }
    this.advance(action.waitMs);
  }

  /** Odd keys are issued by the daemon of VM 0 or 1, even keys are created by the client. */
  #key(index: number): IdempotencyKey {
    const known = this.#keys.get(index);
    if (known !== undefined) return known;
    const at = this.fleet.time.now;
    const home = this.fleet.daemons[index % 2 === 1 ? index >> 1 & 1 : 0]!;
    const issue = { home: home.core.board.self.id, at, team: "a" as TeamId };
    const key = index % 2 === 1
      ? `${issueKeyPrefix(issue, home.core.board.claims.keySecret)}.${index}`
      : this.#random.uuid(at);
    this.#keys.set(index, key as IdempotencyKey);
    return key as IdempotencyKey;
  }

  #call(vm: number, action: { key: number; body: number }): void {
    this.#requests += 1;
    this.fleet.call(vm, {
      kind: "call",
      id: `r${this.#requests}` as RequestId,
      team: "a" as TeamId,
      classId: "call" as ClassId,
      digest: `body${action.body}` as Digest,
      service: "stock" as ServiceId,
      method: "POST",
      path: "/reserve",
      key: this.#key(action.key),
    });
  }

  /** Never expires the newest checkpoint nor the records after those it covers: checkpoints are appended well within the retention period. */
  #expire(keep: number): void {
    const history = this.fleet.log.history.get(CONFIG_STREAM) ?? [];
    const covers = history.map((record) =>
      JSON.parse(record.value).covers ?? 0
    );
    const needed = history.length - Math.max(0, ...covers);
    this.fleet.log.expire(CONFIG_STREAM, Math.max(keep, needed));
  }

  /** Runs until no daemon is frozen, then for `QUIET_MS`. */
  settle(): void {
    this.fleet.log.mode = "up";
    while (this.fleet.daemons.some((daemon) => daemon.frozen)) {
      this.advance(1_000);
    }
    this.advance(QUIET_MS);
  }

  #publish(action: { stale: boolean; doubled: boolean }): void {
    const { fleet } = this;
    const revision = modelRevision(fleet);
    const base = action.stale ? revision - 1 : revision;
    const id = `p${fleet.log.history.get(CONFIG_STREAM)?.length}`;
    const times = action.doubled ? 2 : 1;
    for (let time = 0; time < times; time += 1) {
      fleet.publish(base as Revision, JSON.stringify(CONFIG), id);
    }
  }

  #checkNow(): void {
    for (const daemon of this.fleet.daemons) {
      const { self, config } = daemon.core.board;
      const before = this.#revisions.get(self.id) ?? -1;
      if (config.revision < before) {
        expect.fail(`${self.id} went from ${before} to ${config.revision}`);
      }
      this.#revisions.set(self.id, config.revision);
    }
  }

  checkEnd(): void {
    const { fleet } = this;
    const revision = modelRevision(fleet);
    for (const daemon of fleet.daemons) {
      expect(daemon.core.board.config.revision).toBe(revision);
      expect(daemon.core.board.requests.byId.size).toBe(0);
    }
    for (const [key, runs] of fleet.service.runsByKey) {
      expect({ key, runs }).toEqual({ key, runs: 1 });
    }
    for (const [id, answers] of fleet.answers) this.#checkAnswer(id, answers);
  }

  #checkAnswer(
    id: RequestId,
    answers: Parameters<typeof this.fleet.answers.set>[1],
  ): void {
    const [answer] = answers;
    expect(answers.length).toBe(1);
    const runs = this.fleet.service.runsByRequest.get(id) ?? 0;
    if (answer?.type === "answer_recorded") {
      expect(answer.body).toBe(callBody(this.fleet.requests.get(id)!));
    }
    if (answer?.type === "answer" && answer.problem.verdict === "not_run") {
      expect({ id, runs, code: answer.problem.code }).toEqual({
        id,
        runs: 0,
        code: answer.problem.code,
      });
    }
  }
}

/** Reference model: computes the revision from all records ever appended, each record id once. */
function modelRevision(fleet: FakeFleet): number {
  const seen = new Set<string>();
  let revision = -1;
  for (const record of fleet.log.history.get(CONFIG_STREAM) ?? []) {
    const value = JSON.parse(record.value) as {
      type: string;
      id: string;
      base: number;
    };
    if (value.type !== "config_change" || seen.has(value.id)) continue;
    seen.add(value.id);
    if (value.base === revision) revision = record.offset;
  }
  return revision;
}

test("a key runs at most once, verdicts are correct, and all daemons converge on a revision that never decreases", () => {
  fc.assert(
    fc.property(
      actions,
      fc.integer({ min: 1, max: 1_000_000 }),
      (plan, seed) => {
        const run = new Run(seed);
        for (const action of plan) run.act(action);
        run.fleet.log.mode = "up";
        run.advance(105_000);
        run.advance(QUIET_MS);
        run.checkEnd();
      },
    ),
    { seed: SEED, numRuns: RUNS, endOnFailure: true },
  );
});
