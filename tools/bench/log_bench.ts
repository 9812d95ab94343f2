import { closeSync, openSync } from "node:fs";
import process from "node:process";
import { addMs, SECOND_MS, type Timestamp } from "../../src/core/time.ts";
import { EventLog } from "../../src/gateway/event_log.ts";

/** What lines of the log cost, in µs of processor time; a line left out is one beyond the budget of its kind. */
export type LogReport = Readonly<
  { lines: number; lineUs: number; leftOutUs: number }
>;

/** Seconds of a kind's full budget that are written. */
const SECONDS = 2_000;
/** Lines that are offered in each second, of which 60 are written. */
const OFFERED = 60;
const MANY_OFFERED = 6_000;

/** Measures the log as a daemon writes it, to a reader that takes all. */
export async function benchLog(): Promise<LogReport> {
  const fd = openSync("/dev/null", "w");
  let now = 0 as Timestamp;
  const log = EventLog.create({ vm: "front-1" }, { now: () => now, fd });
  const second = (count: number) => {
    now = addMs(now, SECOND_MS);
    for (let i = 0; i < count; i += 1) log.line("place", LINE);
  };
  for (let i = 0; i < SECONDS; i += 1) second(OFFERED);
  const written = await cpuMs(() => {
    for (let i = 0; i < SECONDS; i += 1) second(OFFERED);
  });
  const rounds = SECONDS / 100;
  const many = await cpuMs(() => {
    for (let i = 0; i < rounds; i += 1) second(MANY_OFFERED);
  });
  await log.close();
  closeSync(fd);
  const lines = SECONDS * OFFERED;
  const lineUs = written * 1_000 / lines;
  const leftOut = rounds * (MANY_OFFERED - OFFERED);
  const rest = many * 1_000 - rounds * OFFERED * lineUs;
  return { lines, lineUs: round(lineUs), leftOutUs: round(rest / leftOut) };
}

const LINE = {
  req: "0011223344556677",
  by: "front-1",
  for: "front-2",
  tokens: 4_960,
  left_ms: 9_400,
  age_ms: 310,
  waiting: 0,
  upstream: "i-0123456789",
  helpers: 0,
  tickets: 0,
  expect_ms: 136,
};

/** Processor time that work takes, with what it leaves to be written. */
async function cpuMs(work: () => void): Promise<number> {
  const before = process.cpuUsage();
  work();
  await new Promise((resolve) => setTimeout(resolve, 200));
  const { user, system } = process.cpuUsage(before);
  return (user + system) / 1_000;
}

function round(value: number): number {
  return Number(value.toFixed(2));
}
