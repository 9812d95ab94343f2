import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { afterEach, beforeEach, expect, test } from "vitest";
import { explain } from "./explain.ts";

/** Log lines of two daemons, one log with prefixes; the last line of the first log is truncated. */
const FRONT_LOG = [
  `{"at":"2026-01-21T15:03:04.100Z","kind":"start","vm":"front-1","node":"v20"}`,
  `{"at":"2026-01-21T15:03:05.120Z","kind":"attempt_failed","vm":"front-1","req":"aa","route":"r1","upstream":"e1","cause":"upstream_silent","verdict":"may_have_run","detail":"No data for 360 ms","left_ms":420,"events":0,"then":"retry"}`,
  `{"at":"2026-01-21T15:03:05.900Z","kind":"refused","vm":"front-1","req":"aa","route":"r1","code":"deadline_exceeded","verdict":"may_have_run","detail":"The deadline has passed","ms":800,"attempts":2,"events":0}`,
  `{"at":"2026-01-21T15:03:06.000Z","kind":"refused","vm":"fro`,
].join("\n");
const LEADER_LOG = [
  `   4.79 front-2 {"at":"2026-01-21T15:03:05.001Z","kind":"place","vm":"front-2","req":"aa","by":"front-2","for":"front-1","tokens":0,"left_ms":800,"age_ms":300,"upstream":"e1"}`,
  `   4.80 front-2 {"at":"2026-01-21T15:03:05.300Z","kind":"upstream","vm":"front-2","upstream":"e1","how":"gone"}`,
  `   4.80 front-2 {"at":"2026-01-21T15:03:05.400Z","kind":"upstream","vm":"front-2","upstream":"e9","how":"gone"}`,
].join("\n");

let dir = "";
beforeEach(async () => {
  dir = await mkdtemp(join(tmpdir(), "explain-"));
  await writeFile(join(dir, "front-1.log"), FRONT_LOG);
  await writeFile(join(dir, "front-2.log"), LEADER_LOG);
});
afterEach(() => rm(dir, { recursive: true }));

test("the lines of all daemons are merged in order of time", async () => {
  const report = await explain("aa", dir);
  expect(report._unsafeUnwrap().lines).toMatchInlineSnapshot(`
    [
      "request aa: refused: deadline_exceeded, verdict may_have_run; after e1: upstream_silent (No data for 360 ms)",
      "  15:03:05.001 front-2 place by=front-2 for=front-1 tokens=0 left_ms=800 age_ms=300 upstream=e1",
      "  15:03:05.120 front-1 attempt_failed route=r1 upstream=e1 cause=upstream_silent verdict=may_have_run detail=No data for 360 ms left_ms=420 events=0 then=retry",
      "  15:03:05.900 front-1 refused route=r1 code=deadline_exceeded verdict=may_have_run detail=The deadline has passed ms=800 attempts=2 events=0",
      "meanwhile:",
      "  15:03:05.300 front-2 upstream upstream=e1 how=gone",
      "1 lines can't be read",
    ]
  `);
});

test("an unknown request id is an error", async () => {
  const report = await explain("zz", dir);
  expect(report._unsafeUnwrapErr().code).toBe("unknown_request");
});

test("a missing folder is bad input", async () => {
  const report = await explain("aa", join(dir, "none"));
  expect(report._unsafeUnwrapErr().exit).toBe("bad_input");
});
