import { mkdtempSync, openSync, readFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { expect, test } from "vitest";
import type { Timestamp } from "../core/time.ts";
import { CLOSE_TIMEOUT_MS, EventLog } from "./event_log.ts";

function logTo(file: string, now: () => number): EventLog {
  return EventLog.create({ vm: "vm-1" }, {
    now: () => now() as Timestamp,
    fd: openSync(file, "w"),
  });
}

test("each kind of line has a budget per second, and suppressed lines are counted", async () => {
  const file = join(mkdtempSync(join(tmpdir(), "log-")), "out");
  let now = 0;
  const log = logTo(file, () => now);
  for (let i = 0; i < 100; i += 1) log.line("place", { i });
  log.line("config", { to: 2 });
  now = 1_000;
  log.line("place", { i: 100 });
  await new Promise((resolve) => setTimeout(resolve, 50));
  await log.close();
  const lines = readFileSync(file, "utf8").trim().split("\n")
    .map((line) => JSON.parse(line));
  expect(lines.filter((line) => line.kind === "place")).toHaveLength(61);
  expect(lines.find((line) => line.kind === "left_out"))
    .toMatchObject({ of: "place", count: 40, vm: "vm-1" });
  expect(lines.filter((line) => line.kind === "config")).toHaveLength(1);
});

test("a reader that accepts no data does not block the writer, and lost lines are counted", async () => {
  const log = logTo("/dev/full", () => Date.now());
  const from = performance.now();
  for (let i = 0; i < 20_000; i += 1) {
    log.line(`kind ${i}`, { text: "x".repeat(100) });
  }
  expect(performance.now() - from).toBeLessThan(5_000);
  await expect.poll(() => log.dropped, { timeout: 5_000 }).toBeGreaterThan(0);
  await log.close();
});

test("lines that are suppressed in the last second are counted at the close", async () => {
  const file = join(mkdtempSync(join(tmpdir(), "log-")), "out");
  const log = logTo(file, () => 5_000);
  for (let i = 0; i < 100; i += 1) log.line("cut", { i });
  expect(await log.close()).toBe(true);
  const lines = readFileSync(file, "utf8").trim().split("\n")
    .map((line) => JSON.parse(line));
  expect(lines).toHaveLength(61);
  expect(lines.at(-1)).toMatchObject({
    kind: "left_out",
    of: "cut",
    count: 40,
  });
});

test("lines that were written during a stall counted as lost at the exit", async () => {
  const file = join(mkdtempSync(join(tmpdir(), "log-")), "out");
  const log = logTo(file, () => Date.now());
  log.line("last", {});
  const closed = log.close();
  const until = performance.now() + 2 * CLOSE_TIMEOUT_MS;
  while (performance.now() < until);
  expect(await closed).toBe(true);
});
