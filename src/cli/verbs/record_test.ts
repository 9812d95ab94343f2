import { mkdtemp, readFile, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { expect, test } from "vitest";
import type { DaemonId, RecordId } from "../../core/id.ts";
import { AuditEntrySchema, createAuditBatch } from "../../fold/audit_fold.ts";
import { createFakeContext, type FakeContext } from "../fake_context.ts";
import { exportRecord, verifyRecord } from "./record.ts";

const ENTRY = AuditEntrySchema.parse({
  request: "r",
  team: "t",
  class: "c",
  asked: "abc",
  revision: 3,
  end: "ok",
  verdict: "ran",
  attempts: 1,
  tokens: 20,
  arrivedAt: 1,
  endedAt: 2,
});

/** Appends `count` batches of one daemon to the log, without those in `missing`. */
function appendChain(
  fake: FakeContext,
  count: number,
  missing: readonly number[] = [],
): void {
  let previous = "";
  for (let seq = 0; seq < count; seq += 1) {
    const batch = createAuditBatch(`a-${seq}` as RecordId, {
      daemon: "a" as DaemonId,
      seq,
      previous,
      lost: 0,
      closed: false,
      entries: [ENTRY],
    });
    previous = batch.hash;
    if (!missing.includes(seq)) fake.log.values.push(JSON.stringify(batch));
  }
}

async function tempArchivePath(): Promise<string> {
  return join(await mkdtemp(join(tmpdir(), "parsleyfield-")), "a.jsonl");
}

test("an export can be verified without the log, and an altered line is detected", async () => {
  const fake = createFakeContext();
  appendChain(fake, 3);
  const path = await tempArchivePath();
  const exported = (await exportRecord(fake.ctx, path))._unsafeUnwrap();
  expect(exported.lines.slice(1)).toMatchInlineSnapshot(`
    [
      "runs: 1, open: 1, batches: 3, requests: 3, gaps: 0, lost: 0, broken: 0, unreadable: 0",
    ]
  `);
  const offline = createFakeContext({ log: undefined });
  expect((await verifyRecord(offline.ctx, [path]))._unsafeUnwrap().exit)
    .toBe("ok");
  const text = await readFile(path, "utf8");
  await writeFile(path, text.replace(`"tokens":20`, `"tokens":21`));
  const altered = (await verifyRecord(offline.ctx, [path]))._unsafeUnwrap();
  expect(altered.exit).toBe("failure");
  expect(altered.lines).toMatchInlineSnapshot(`
    [
      "not intact",
      "runs: 1, open: 1, batches: 3, requests: 3, gaps: 0, lost: 0, broken: 1, unreadable: 0",
      "broken: batch 0 of daemon a: hash",
    ]
  `);
});

test("export and verify report missing batches as a gap", async () => {
  const fake = createFakeContext();
  appendChain(fake, 5, [2, 3]);
  const path = await tempArchivePath();
  await exportRecord(fake.ctx, path);
  const lines = (await readFile(path, "utf8")).trim().split("\n");
  expect(lines.map((line) => JSON.parse(line).type)).toEqual([
    "audit_batch",
    "audit_batch",
    "gap",
    "audit_batch",
    "end",
  ]);
  for (const paths of [[], [path]]) {
    const report = (await verifyRecord(fake.ctx, paths))._unsafeUnwrap();
    expect(report.exit).toBe("failure");
    expect(report.lines.at(-1)).toBe(
      "gap: batches 2 to 3 of daemon a are missing",
    );
  }
});

test("expired batches are a fault of an archive that lacks them, not of the log", async () => {
  const fake = createFakeContext();
  appendChain(fake, 4);
  const early = await tempArchivePath();
  await exportRecord(fake.ctx, early);
  appendChain(fake, 6, [0, 1, 2, 3]);
  fake.log.firstOffset = 2;
  const late = await tempArchivePath();
  await exportRecord(fake.ctx, late);
  const exit = async (paths: readonly string[]) =>
    (await verifyRecord(fake.ctx, paths))._unsafeUnwrap().exit;
  expect(await exit([])).toBe("ok");
  expect(await exit([late])).toBe("failure");
  expect(await exit([early, late])).toBe("ok");
});

test("an export that fails to read the log leaves no file", async () => {
  const fake = createFakeContext();
  appendChain(fake, 501);
  fake.log.readsLeft = 1;
  const path = await tempArchivePath();
  const error = (await exportRecord(fake.ctx, path))._unsafeUnwrapErr();
  expect(error.code).toBe("log_unreadable");
  fake.log.readsLeft = Infinity;
  const again = (await exportRecord(fake.ctx, path))._unsafeUnwrap();
  expect(again.data).toMatchObject({ batches: 501 });
});

test("an altered first batch of the log is a fault, although earlier batches may have expired", async () => {
  const fake = createFakeContext();
  appendChain(fake, 2);
  const [first = "", ...rest] = fake.log.values.splice(0);
  fake.log.values.push(first.replace(`"tokens":20`, `"tokens":21`), ...rest);
  const report = (await verifyRecord(fake.ctx, []))._unsafeUnwrap();
  expect(report).toMatchObject({
    exit: "failure",
    data: { broken: 1, gaps: 0 },
  });
});

test("verification fails for requests lost by a daemon and for records that are not batches", async () => {
  const fake = createFakeContext();
  const batch = createAuditBatch("x" as RecordId, {
    daemon: "a" as DaemonId,
    seq: 0,
    previous: "",
    lost: 4,
    closed: true,
    entries: [ENTRY],
  });
  fake.log.values.push(JSON.stringify(batch));
  const lost = (await verifyRecord(fake.ctx, []))._unsafeUnwrap();
  expect(lost).toMatchObject({ exit: "failure", data: { lost: 4 } });
  fake.log.values.push(`{"id":"y","type":"audit"}`);
  const report = (await verifyRecord(fake.ctx, []))._unsafeUnwrap();
  expect(report.exit).toBe("failure");
  expect(report.lines).toMatchInlineSnapshot(`
    [
      "not intact",
      "runs: 1, open: 0, batches: 1, requests: 1, gaps: 0, lost: 4, broken: 0, unreadable: 1",
      "lost: daemon a could not keep 4 requests before batch 0",
      "unreadable: {"id":"y","type":"audit"}",
    ]
  `);
});

test("an existing file is not overwritten", async () => {
  const fake = createFakeContext();
  const path = await tempArchivePath();
  await writeFile(path, "kept");
  const error = (await exportRecord(fake.ctx, path))._unsafeUnwrapErr();
  expect(error).toMatchObject({ code: "bad_archive", exit: "bad_input" });
  expect(await readFile(path, "utf8")).toBe("kept");
});
