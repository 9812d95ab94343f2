import { expect, test } from "vitest";
import type { Offset, RecordId } from "../core/id.ts";
import type { Timestamp } from "../core/time.ts";
import { ConfigFold } from "./config_fold.ts";
import type { LogEntry } from "./log_reader.ts";

function entry(offset: number, value: Record<string, unknown>): LogEntry {
  const id = `r${offset}` as RecordId;
  return {
    offset: offset as Offset,
    at: offset as Timestamp,
    id,
    value: { id, ...value },
  };
}

function change(offset: number, base: number, name: string): LogEntry {
  return entry(offset, {
    type: "config_change",
    base,
    change: name,
    author: `author of ${name}`,
    at: offset,
    text: `text of ${name}`,
  });
}

function checkpoint(
  offset: number,
  covers: number,
  of: { revision: number; name: string },
): LogEntry {
  return entry(offset, {
    type: "config_checkpoint",
    covers,
    revision: of.revision,
    change: of.name,
    author: `author of ${of.name}`,
    at: Math.max(0, of.revision),
    text: `text of ${of.name}`,
    madeAt: offset,
  });
}

function fold(start: number, entries: readonly LogEntry[]): ConfigFold {
  const result = ConfigFold.create();
  result.restart(start as Offset);
  for (const record of entries) result.foldRecord(record);
  return result;
}

test("of two changes with one base the first is accepted, the second rejected with the state in force", () => {
  const config = ConfigFold.create();
  config.foldRecord(change(0, -1, "first"));
  config.foldRecord(change(1, 0, "ours"));
  expect(config.foldRecord(change(2, 0, "theirs"))).toMatchInlineSnapshot(`
    [
      {
        "accepted": false,
        "at": 2,
        "change": {
          "at": 2,
          "author": "author of theirs",
          "base": 0,
          "change": "theirs",
          "id": "r2",
          "text": "text of theirs",
          "type": "config_change",
        },
        "offset": 2,
        "state": {
          "at": 1,
          "author": "author of ours",
          "change": "ours",
          "revision": 1,
          "text": "text of ours",
        },
      },
    ]
  `);
});

test("a late or duplicate checkpoint does not revert the state", () => {
  const config = fold(0, [
    change(0, -1, "a"),
    change(1, 0, "b"),
    checkpoint(2, 1, { revision: 0, name: "a" }),
    checkpoint(3, 1, { revision: 0, name: "a" }),
  ]);
  expect(config.state?.revision).toBe(1);
});

test("a reader has no state until a checkpoint covers its start", () => {
  const late = checkpoint(5, 1, { revision: 0, name: "a" });
  const whole = checkpoint(7, 6, { revision: 3, name: "c" });
  expect(fold(4, [late]).state).toBeUndefined();
  expect(fold(4, [late, whole]).state?.change).toBe("c");
});

test("changes between `covers` and the checkpoint's own offset are folded on top of it", () => {
  const config = fold(4, [
    change(4, 3, "d"),
    change(5, 3, "loser"),
    checkpoint(6, 4, { revision: 3, name: "c" }),
    change(7, 4, "e"),
  ]);
  expect(config.state).toMatchInlineSnapshot(`
    {
      "at": 7,
      "author": "author of e",
      "change": "e",
      "revision": 7,
      "text": "text of e",
    }
  `);
});

test("a reader that starts at any offset arrives at the state of a reader of the whole stream", () => {
  const entries: LogEntry[] = [];
  const whole = ConfigFold.create();
  const honest = [{ covers: 0, revision: -1, name: "" }];
  for (let offset = 0; offset < 60; offset += 1) {
    const { revision, change: name } = whole.state!;
    if (offset % 9 === 8) honest.push({ covers: offset, revision, name });
    const late = honest[(offset * 3) % honest.length]!;
    const written = offset % 9 === 0 ? honest.at(-1)! : late;
    const next = offset % 9 === 0 || offset % 5 === 0
      ? checkpoint(offset, written.covers, written)
      : change(
        offset,
        offset % 5 === 1 ? revision - 1 : revision,
        `c${offset}`,
      );
    entries.push(next);
    whole.foldRecord(next);
  }
  for (let start = 0; start < 50; start += 1) {
    const part = fold(start, entries.slice(start));
    expect(part.state).toEqual(whole.state);
  }
});

test("a reader that dropped a queued change applies no checkpoint from before it", () => {
  const waiting = Array.from(
    { length: 300 },
    (_, index) => change(10 + index, index, `c${index}`),
  );
  const config = fold(10, waiting);
  config.foldRecord(checkpoint(400, 20, { revision: 9, name: "old" }));
  expect(config.state).toBeUndefined();
  config.foldRecord(checkpoint(401, 310, { revision: 309, name: "new" }));
  expect(config.state?.revision).toBe(309);
});

test("an empty checkpoint by an operator makes a fully expired stream usable again", () => {
  const empty = checkpoint(9, 9, { revision: -1, name: "" });
  const config = fold(9, [empty, change(10, -1, "anew")]);
  expect(config.state).toMatchObject({ revision: 10, change: "anew" });
});
