import { expect, test } from "vitest";
import type { Event } from "../core/event.ts";
import type { Offset } from "../core/id.ts";
import type { StepResult } from "../core/core.ts";
import { addMs, type Timestamp } from "../core/time.ts";
import { KEYS_STREAM } from "../fold/streams.ts";
import { CoreFixture, intentsOf, START } from "../testing/fixtures.ts";
import { KeyController } from "./key_controller.ts";

const EMPTY = read([]);

function read(values: readonly string[], from = 0, at = START): Event {
  const end = (from + values.length) as Offset;
  return {
    type: "log_read",
    stream: KEYS_STREAM,
    records: values.map((value, index) => ({
      offset: (from + index) as Offset,
      at: at as Timestamp,
      value,
    })),
    nextOffset: end,
    endOffset: end,
  };
}

function create(secret: string): CoreFixture {
  return CoreFixture.create([KeyController.create(() => secret.repeat(32))]);
}

function appended(result: StepResult): readonly string[] {
  return intentsOf(result, "append").flatMap((one) =>
    one.records.map((record) => record.body)
  );
}

function keyRecord(id: string, key: string): string {
  return JSON.stringify({ type: "signing_key", id, key: key.repeat(32) });
}

test("a daemon that finds no key appends one, and signs only after reading it back", () => {
  const core = create("a");
  expect(appended(core.step())).toEqual([]);
  const [body] = appended(core.step(EMPTY));
  expect(core.board.keys.signing).toBeUndefined();
  core.step(read([body!]));
  expect(core.board.keys.signing).toBe("a".repeat(32));
});

test("two daemons that append keys at the same time both use the first key in the log", () => {
  const records = [keyRecord("1", "a"), keyRecord("2", "b")];
  const cores = [create("a"), create("b")];
  for (const core of cores) {
    core.step(EMPTY);
    core.step(read(records));
  }
  const [first, second] = cores.map((core) => core.board.keys);
  expect(first).toEqual(second);
  expect(first?.signing).toBe("a".repeat(32));
});

test("a new key signs only after its propagation time, and the old key still verifies", () => {
  const core = create("c");
  core.step(read([keyRecord("1", "a")]));
  const second = read([keyRecord("2", "b")], 1, addMs(START, 60_000));
  core.after(60_000, second);
  expect(core.board.keys.signing).toBe("a".repeat(32));
  core.after(10_000);
  expect(core.board.keys.signing).toBe("b".repeat(32));
  expect(core.board.keys.accepted).toContain("a".repeat(32));
});

test("a key that is half a key window old is replaced", () => {
  const core = create("c");
  core.step(read([keyRecord("1", "a")]));
  expect(appended(core.after(1_799_999))).toEqual([]);
  expect(appended(core.after(1))).toHaveLength(1);
});

test("a key in use schedules no wake-up before its replacement is due", () => {
  const core = create("c");
  core.step(read([keyRecord("1", "a")]));
  const settled = core.after(20_000, read([], 1));
  expect(settled.wakeAt).toBeGreaterThan(core.now);
});

test("when more daemons start together than keys are kept, all sign with the first key", () => {
  const records = ["a", "b", "c", "d", "e"].map((key, i) =>
    keyRecord(String(i), key)
  );
  const early = create("x");
  early.step(read(records.slice(0, 1)));
  const { signing } = early.board.keys;
  const late = create("y");
  late.step(read(records));
  early.step(read(records.slice(1), 1));
  for (const core of [early, late]) {
    core.after(10_000);
    expect(core.board.keys.accepted).toContain(signing);
    expect(core.board.keys.signing).toBe(signing);
  }
});
