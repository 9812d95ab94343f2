import { expect, test } from "vitest";
import type { DaemonId, RecordId, RequestId } from "../core/id.ts";
import { type AuditBatch, AuditChain } from "../fold/audit_fold.ts";
import { RECORDS_STREAM } from "../fold/streams.ts";
import { createBlackboard } from "../board/blackboard.ts";
import type { RequestEnd } from "../board/requests_section.ts";
import { Core } from "../core/core.ts";
import type { Intent } from "../core/intent.ts";
import { Random } from "../core/random.ts";
import { addMs, type Timestamp } from "../core/time.ts";
import { RecordController } from "./record_controller.ts";

type Append = Extract<Intent, { type: "append" }>;

/** One record controller; the test plays the log. */
class Fixture {
  readonly core = Core.create({
    board: createBlackboard({ id: "d1" as DaemonId } as never),
    controllers: [RecordController.create()],
    random: Random.create(1),
  });
  #now = 1_000_000 as Timestamp;

  endRequests(count: number): void {
    const { ended } = this.core.board.requests;
    for (let index = 0; index < count; index += 1) {
      ended.push(requestEnd(`r${index}`));
    }
  }

  /** Advances the time by `ms`, steps, and returns the appended batches. */
  step(ms: number, result?: "appended" | "unknown", of: AuditBatch[] = []) {
    this.#now = addMs(this.#now, ms);
    const records = of.map((batch) => batch.id as RecordId);
    const stream = RECORDS_STREAM;
    const events = result === undefined
      ? []
      : [{ type: "append_ended" as const, stream, records, result }];
    const { intents } = this.core.step(this.#now, events);
    this.core.board.requests.ended = [];
    return intents
      .filter((intent): intent is Append => intent.type === "append")
      .flatMap((intent) => intent.records)
      .map((record) => JSON.parse(record.body) as AuditBatch);
  }
}

function requestEnd(id: string): RequestEnd {
  const req = {
    kind: "prompt",
    id: id as RequestId,
    team: "a",
    classId: "c",
    digest: "d",
    arrivedAt: 1,
  };
  const entry = { req, ranUnder: { revision: 1 }, attempts: 1, tokens: 2 };
  return {
    entry: entry as never,
    result: { end: "ok", verdict: "ran" },
  };
}

test("records are appended once a second, and a batch whose append has an unknown result is appended again unchanged", () => {
  const fixture = new Fixture();
  fixture.endRequests(3);
  expect(fixture.step(0)).toEqual([]);
  const first = fixture.step(1_000);
  expect(first.map((batch) => batch.entries.length)).toEqual([3]);
  const again = [
    ...fixture.step(10, "unknown", first),
    ...fixture.step(1_000),
  ];
  expect(again).toEqual(first);
  fixture.step(10, "appended", first);
  expect(fixture.core.board.records.unconfirmed).toBe(0);
});

test("records lost in a long outage are counted in the chain", () => {
  const fixture = new Fixture();
  fixture.endRequests(13_000);
  let batches = fixture.step(1_000);
  const audit = AuditChain.create();
  const findings: unknown[] = [];
  while (batches.length > 0) {
    for (const batch of batches) findings.push(...audit.addRecord(batch));
    batches = fixture.step(10, "appended", batches);
  }
  const kinds = findings.map((finding) => (finding as { type: string }).type);
  expect(findings.filter((_, index) => kinds[index] !== "batch"))
    .toMatchInlineSnapshot(`
      [
        {
          "count": 3000,
          "daemon": "d1",
          "seq": 49,
          "type": "lost",
        },
      ]
    `);
  expect(kinds.length).toBe(51);
});

test("a planned stop closes the chain", () => {
  const fixture = new Fixture();
  fixture.endRequests(1);
  fixture.core.board.members.drain = "refusing";
  expect(fixture.step(0).map((batch) => [batch.closed, batch.entries.length]))
    .toEqual([[true, 1]]);
  expect(fixture.step(5_000)).toEqual([]);
});
