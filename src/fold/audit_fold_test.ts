import { expect, test } from "vitest";
import type { DaemonId, RecordId } from "../core/id.ts";
import {
  type AuditBatch,
  AuditChain,
  type AuditFinding,
  createAuditBatch,
} from "./audit_fold.ts";

function chain(count: number): readonly AuditBatch[] {
  const batches: AuditBatch[] = [];
  for (let seq = 0; seq < count; seq += 1) {
    const previous = batches.at(-1)?.hash ?? "";
    const entries = [{ ...ENTRY, request: `r${seq}` as never }];
    batches.push(createAuditBatch(`b${seq}` as RecordId, {
      daemon: "d1" as DaemonId,
      seq,
      previous,
      lost: seq === 2 ? 5 : 0,
      closed: seq === count - 1,
      entries,
    }));
  }
  return batches;
}

const ENTRY = {
  request: "r" as never,
  team: "a" as never,
  class: "c" as never,
  asked: "d" as never,
  revision: 3,
  end: "ok",
  verdict: "ran" as const,
  attempts: 1,
  tokens: 7,
  arrivedAt: 1 as never,
  endedAt: 2 as never,
};

/** Summaries of the findings; a batch is shown as its number. */
function readFindings(batches: readonly unknown[]): readonly string[] {
  const audit = AuditChain.create();
  const findings = batches.flatMap((batch) =>
    audit.addRecord(JSON.parse(JSON.stringify(batch)))
  );
  return [...findings, ...audit.finish()].map(summarize);
}

function summarize(finding: AuditFinding): string {
  switch (finding.type) {
    case "batch":
      return `${finding.batch.seq}`;
    case "gap":
      return `gap ${finding.from}-${finding.to}`;
    case "lost":
      return `lost ${finding.count}`;
    case "broken":
      return `broken ${finding.seq} ${finding.reason}`;
    case "end":
      return `end ${finding.batches} ${finding.closed ? "closed" : "open"}`;
  }
}

test("a complete chain is read in order, also if batches are duplicated or out of order", () => {
  const [a, b, c, d] = chain(4);
  const whole = ["0", "1", "lost 5", "2", "3", "end 4 closed"];
  expect(readFindings([a, b, c, d])).toEqual(whole);
  expect(readFindings([b, a, b, d, a, c])).toEqual(whole);
});

test("missing, truncated, changed and replaced batches are reported", () => {
  const [a, b, c, d] = chain(4);
  const changed = { ...b!, entries: [{ ...ENTRY, tokens: 8 }] };
  const rival = createAuditBatch("x" as RecordId, { ...b!, entries: [] });
  expect({
    missing: readFindings([a, d]),
    expired: readFindings([c, d]),
    cutOff: readFindings([a, b]),
    changed: readFindings([a, changed, c, d]),
    replaced: readFindings([a, rival, c, d]),
    rival: readFindings([a, b, rival, c, d]),
    nothing: readFindings([]),
  }).toMatchInlineSnapshot(`
    {
      "changed": [
        "0",
        "broken 1 hash",
        "1",
        "lost 5",
        "2",
        "3",
        "end 4 closed",
      ],
      "cutOff": [
        "0",
        "1",
        "end 2 open",
      ],
      "expired": [
        "gap 0-1",
        "lost 5",
        "2",
        "3",
        "end 2 closed",
      ],
      "missing": [
        "0",
        "gap 1-2",
        "3",
        "end 2 closed",
      ],
      "nothing": [],
      "replaced": [
        "0",
        "1",
        "broken 2 link",
        "lost 5",
        "2",
        "3",
        "end 4 closed",
      ],
      "rival": [
        "0",
        "1",
        "broken 1 rival",
        "lost 5",
        "2",
        "3",
        "end 4 closed",
      ],
    }
  `);
});
