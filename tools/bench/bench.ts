import { randomUUID } from "node:crypto";
import { readFileSync } from "node:fs";
import { quantile } from "simple-statistics";
import { type DaemonProgram, Fleet, until } from "../lib/fleet.ts";
import { Program } from "../lib/program.ts";
import { closeClient, timeStream, type Timing } from "./stream_client.ts";

const EXAMPLE = "examples/cooperative";
const TEAM = "makers-damietta";
const BYTES_PER_TOKEN = 4;
const PACE_MS = 20;
const PAIRS = 300;
const PACED_STREAMS = 16;
const PACED_TOKENS = 60;
const FAST_STREAMS = 16;
const FAST_TOKENS = 20_000;
const SMALL_REQUESTS = 1_500;
const SMALL_WORKERS = 16;
const MILLION_TOKENS = 1_000_000;
const CLOCK_TICKS_PER_SECOND = 100;

/** Figures through a daemon beside those of the same calls without one, from one run. */
export type BenchReport = Readonly<{
  firstTokenMs: Beside;
  /** Quantiles of what one pair of calls differs by. */
  addedFirstTokenMs: Quantiles;
  interTokenMs: Beside;
  relay: Readonly<{
    tokensPerSecond: number;
    directTokensPerSecond: number;
    /** Tokens for each second of the daemon's processor time. */
    tokensPerCoreSecond: number;
  }>;
  requests: Readonly<
    { perSecond: number; perCoreSecond: number; directPerSecond: number }
  >;
  million: Readonly<{ idleMb: number; peakMb: number; firstTokenMs: number }>;
}>;

type Quantiles = Readonly<{ p50: number; p99: number }>;
type Beside = Readonly<{ direct: Quantiles; daemon: Quantiles }>;
type Target = (tokens: number, promptTokens: number) => Promise<Timing>;

/** Measures one daemon between a client and token sources, each a process of its own on loopback. */
export async function bench(options: { dist?: string }): Promise<BenchReport> {
  const paced = await withFleet(PACE_MS, options, measurePaced);
  const fast = await withFleet(0, options, measureFast);
  await closeClient();
  return { ...paced, ...fast };
}

type Rig = Readonly<{ daemon: DaemonProgram; direct: Target; relayed: Target }>;

async function withFleet<T>(
  paceMs: number,
  options: { dist?: string },
  work: (rig: Rig) => Promise<T>,
): Promise<T> {
  const fleet = Fleet.create({
    daemons: 1,
    engines: 0,
    timeScale: 1,
    loaded: "assistant/2026-09",
    group: "assistants",
    service: "orders",
    domains: ["a"],
    ...options,
  });
  const source = Program.create("tools/bench/token_source.js", {
    args: [String(paceMs)],
  });
  try {
    await fleet.start();
    const address = await source.address();
    await fleet.listVm({
      id: "source",
      role: "engine",
      address,
      group: "assistants",
    });
    const daemon = fleet.daemons[0]!;
    await apply(fleet, daemon);
    return await work({
      daemon,
      direct: (tokens, promptTokens) => direct(address, tokens, promptTokens),
      relayed: (tokens, promptTokens) => relayed(daemon, tokens, promptTokens),
    });
  } finally {
    await source.kill();
    await fleet.stop();
  }
}

async function apply(fleet: Fleet, daemon: DaemonProgram): Promise<void> {
  const entry = daemon.clientAddress;
  const args = ["apply", EXAMPLE, "--log", fleet.logUrl, "--entry", entry];
  await Program.create("src/cli/main.js", { args }).exited;
  await until("the daemon serves", async () => {
    const timing = await relayed(daemon, 1, 100);
    return timing.tokens === 1;
  });
}

async function measurePaced(rig: Rig) {
  const pairs: [Timing, Timing][] = [];
  for (let i = 0; i < PAIRS; i += 1) {
    const first = await rig.direct(1, 1_000);
    pairs.push([first, await rig.relayed(1, 1_000)]);
  }
  const warm = pairs.slice(PAIRS / 10);
  const gaps = async (target: Target) => {
    const streams = await Promise.all(
      Array.from({ length: PACED_STREAMS }, () => target(PACED_TOKENS, 1_000)),
    );
    return quantiles(streams.flatMap((one) => one.gapsMs));
  };
  return {
    firstTokenMs: {
      direct: quantiles(warm.map(([one]) => one.firstTokenMs)),
      daemon: quantiles(warm.map(([, one]) => one.firstTokenMs)),
    },
    addedFirstTokenMs: quantiles(
      warm.map(([one, other]) => other.firstTokenMs - one.firstTokenMs),
    ),
    interTokenMs: {
      direct: await gaps(rig.direct),
      daemon: await gaps(rig.relayed),
    },
  };
}

async function measureFast(rig: Rig) {
  const { pid } = rig.daemon.program;
  const idleMb = memoryMb(pid, "VmRSS");
  const { firstTokenMs } = await rig.relayed(1, MILLION_TOKENS);
  const million = { idleMb, peakMb: memoryMb(pid, "VmHWM"), firstTokenMs };
  await rig.relayed(FAST_TOKENS, 100);
  const straight = await flood(rig.direct);
  const before = cpuSeconds(pid);
  const relay = await flood(rig.relayed);
  const cpu = cpuSeconds(pid) - before;
  const directPerSecond = (await many(rig.direct)).perSecond;
  const beforeMany = cpuSeconds(pid);
  const { perSecond } = await many(rig.relayed);
  const cpuMany = cpuSeconds(pid) - beforeMany;
  return {
    relay: {
      tokensPerSecond: relay.perSecond,
      directTokensPerSecond: straight.perSecond,
      tokensPerCoreSecond: relay.tokens / cpu,
    },
    requests: {
      perSecond,
      perCoreSecond: SMALL_REQUESTS / cpuMany,
      directPerSecond,
    },
    million,
  };
}

async function flood(target: Target) {
  const startedAt = performance.now();
  const streams = await Promise.all(
    Array.from({ length: FAST_STREAMS }, () => target(FAST_TOKENS, 100)),
  );
  const seconds = (performance.now() - startedAt) / 1_000;
  const tokens = FAST_STREAMS * FAST_TOKENS;
  const counted = streams.reduce((sum, one) => sum + one.tokens, 0);
  if (counted < 0.99 * tokens) throw new Error(`Only ${counted} tokens came`);
  return { perSecond: tokens / seconds, tokens };
}

async function many(target: Target) {
  const startedAt = performance.now();
  let left = SMALL_REQUESTS;
  const worker = async () => {
    while (left > 0) {
      left -= 1;
      await target(1, 100);
    }
  };
  await Promise.all(Array.from({ length: SMALL_WORKERS }, worker));
  const seconds = (performance.now() - startedAt) / 1_000;
  return { perSecond: SMALL_REQUESTS / seconds };
}

function direct(
  address: string,
  tokens: number,
  promptTokens: number,
): Promise<Timing> {
  const head = {
    request: randomUUID(),
    attempt: randomUUID(),
    model: "assistant",
    version: "2026-09",
    max_tokens: tokens,
    priority: 0,
    deadline_ms: 60_000,
  };
  return timeStream(`http://${address}/v1/generate`, {
    headers: { "content-type": "application/octet-stream" },
    body: `${JSON.stringify(head)}\n${prompt(promptTokens)}`,
  });
}

function relayed(
  daemon: DaemonProgram,
  tokens: number,
  promptTokens: number,
): Promise<Timing> {
  return timeStream(`http://${daemon.clientAddress}/v1/chat/completions`, {
    headers: {
      "x-team": TEAM,
      "x-class": "ledger-review",
      "content-type": "application/json",
    },
    body: JSON.stringify({
      model: "assistant",
      stream: true,
      max_tokens: tokens,
      messages: [{ role: "user", content: prompt(promptTokens) }],
    }),
  });
}

function prompt(tokens: number): string {
  return randomUUID().padEnd(tokens * BYTES_PER_TOKEN, "x");
}

function quantiles(values: readonly number[]): Quantiles {
  return { p50: quantile([...values], 0.5), p99: quantile([...values], 0.99) };
}

function memoryMb(pid: number, field: string): number {
  const status = readFileSync(`/proc/${pid}/status`, "utf8");
  return Number(new RegExp(`${field}:\\s+(\\d+)`).exec(status)?.[1]) / 1_024;
}

/** User and system time of a process, all threads together. */
function cpuSeconds(pid: number): number {
  const fields = readFileSync(`/proc/${pid}/stat`, "utf8").split(") ")[1]!
    .split(" ");
  return (Number(fields[11]) + Number(fields[12])) / CLOCK_TICKS_PER_SECOND;
}
