import { expect, test } from "vitest";
import type { Offset } from "../core/id.ts";
import type { Timestamp } from "../core/time.ts";
import { LogReader, type ReadBatch } from "./log_reader.ts";

function batch(from: number, values: readonly string[]): ReadBatch {
  const records = values.map((value, index) => ({
    offset: (from + index) as Offset,
    at: (1_000 + from + index) as Timestamp,
    value,
  }));
  const end = (from + values.length) as Offset;
  return { records, nextOffset: end, endOffset: end };
}

function record(id: string): string {
  return JSON.stringify({ id });
}

function ids(reader: LogReader, input: ReadBatch): unknown {
  const result = reader.read(input);
  if (result.type === "gap") return result;
  return result.entries.map((entry) => entry.id);
}

test("a reader returns each record once and skips invalid records", () => {
  const reader = LogReader.create({ idRetentionMs: 100, maxIds: 10 });
  expect([
    ids(reader, batch(0, [record("a"), "not json", record("b")])),
    ids(reader, batch(1, ["not json", record("b"), record("a"), record("c")])),
    reader.next,
    reader.caughtUp,
  ]).toMatchInlineSnapshot(`
    [
      [
        "a",
        "b",
      ],
      [
        "c",
      ],
      5,
      true,
    ]
  `);
});

test("a reader rejects a batch after a gap and keeps its position", () => {
  const reader = LogReader.create({ idRetentionMs: 100, maxIds: 10 });
  reader.read(batch(0, [record("a")]));
  expect([
    ids(reader, batch(3, [record("b")])),
    ids(reader, { records: [], nextOffset: 3, endOffset: 3 } as never),
    reader.next,
  ]).toMatchInlineSnapshot(`
    [
      {
        "expected": 1,
        "found": 3,
        "type": "gap",
      },
      {
        "expected": 1,
        "found": 3,
        "type": "gap",
      },
      1,
    ]
  `);
});

test("a reader drops ids by age and by count", () => {
  const reader = LogReader.create({ idRetentionMs: 3, maxIds: 2 });
  reader.read(batch(0, [record("a"), record("b"), record("c")]));
  expect(ids(reader, batch(3, [record("b"), record("a")]))).toEqual(["a"]);
});

test("a restarted reader returns the records from its new start, also with known ids", () => {
  const reader = LogReader.create({ idRetentionMs: 100, maxIds: 10 });
  reader.read(batch(0, [record("a")]));
  reader.restart(7 as Offset);
  expect(reader.caughtUp).toBe(false);
  expect(ids(reader, batch(7, [record("a")]))).toEqual(["a"]);
});
