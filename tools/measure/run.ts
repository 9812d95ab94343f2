import type { Digest } from "../../src/core/id.ts";
import { MINUTE_MS, SECOND_MS } from "../../src/core/time.ts";
import { scheduleFaults } from "./fault_table.ts";
import { Fleet, type PolicyName } from "./fleet.ts";
import type { PromptRecord } from "./prompt_record.ts";
import { type Scenario, type ScenarioName, SCENARIOS } from "./scenario.ts";
import {
  gapHistogram,
  LENGTH_CLASSES,
  shortP99,
  summarize,
  type Summary,
  type TimeHistogram,
} from "./summary.ts";
import { type Arrival, drawArrivals } from "./workload.ts";

const WARM_MINUTES = 2;
/** The load goes on after the window until the last measured prompt has ended, at most this long. */
const TAIL_MS = 10 * MINUTE_MS + 5 * SECOND_MS;
/** After the tail every prompt has ended or has passed its deadline. */
const END_MS = 15 * SECOND_MS;

/** What is run. */
export type RunOptions = Readonly<{
  scenario: ScenarioName;
  policy: PolicyName;
  load: number;
  seed: number;
  minutes: number;
  /** Load before the window; 2 minutes unless said otherwise. */
  warmMinutes?: number;
  faults: boolean;
}>;

/** The figures of a run, and the records behind them. */
export type RunResult = Readonly<
  { summary: Summary; records: readonly PromptRecord[]; startedAt: number }
>;

/** Runs a scenario, and the same arrivals without the longer prompts for the head-of-line ratio. */
export function measure(options: RunOptions): RunResult {
  const scenario = SCENARIOS[options.scenario];
  const windowMs = options.minutes * MINUTE_MS;
  const arrivals = drawArrivals(scenario, options.seed, {
    load: options.load,
    windowMs,
    warmMs: warmMsOf(options),
    tailMs: TAIL_MS,
  });
  const alone = runFleet(scenario, arrivals.filter(isShort), options);
  const whole = runFleet(scenario, arrivals, options);
  const summary = summarize(whole.records, {
    scenario,
    policy: options.policy,
    seed: options.seed,
    load: options.load,
    windowMs,
    faults: options.faults,
    gaps: whole.gaps,
    aloneP99: shortP99(alone.records),
    retries: whole.fleet.retries,
    enginesLost: whole.fleet.enginesLost,
    enginesPoisoned: whole.fleet.enginesPoisoned,
  });
  return { summary, records: whole.records, startedAt: whole.startedAt };
}

type FleetRun = Readonly<{
  fleet: Fleet;
  records: readonly PromptRecord[];
  gaps: TimeHistogram;
  startedAt: number;
}>;

function runFleet(
  scenario: Scenario,
  arrivals: readonly Arrival[],
  options: RunOptions,
): FleetRun {
  const gaps = gapHistogram();
  const fleet = Fleet.create({
    scenario,
    policy: options.policy,
    seed: options.seed,
    gap: (ms) => gaps.add(ms),
  });
  const windowMs = options.minutes * MINUTE_MS;
  const startedAt = fleet.send(arrivals, warmMsOf(options));
  if (options.faults) {
    const poison = poisonOf(arrivals);
    scheduleFaults(fleet, startedAt, { windowMs, poison });
  }
  const windowEnd = startedAt + windowMs;
  const lastEnd = windowEnd + TAIL_MS + END_MS;
  let open = 0;
  fleet.clock.run(() => {
    const { now } = fleet.clock;
    if (now < windowEnd) return false;
    if (now > lastEnd) return true;
    const { records } = fleet;
    while (open < records.length && isOver(records[open]!)) open += 1;
    return open >= records.length ||
      !records.slice(open).some((one) => one.arrival.measured);
  });
  return { fleet, records: fleet.records, gaps, startedAt };
}

function warmMsOf(options: RunOptions): number {
  return (options.warmMinutes ?? WARM_MINUTES) * MINUTE_MS;
}

function isOver(record: PromptRecord): boolean {
  return !record.arrival.measured || record.endedAt !== undefined;
}

function isShort(arrival: Arrival): boolean {
  return arrival.promptTokens <= LENGTH_CLASSES[0].to;
}

/** A short prompt that crashes each engine that runs it; it counts in no figure. */
function poisonOf(arrivals: readonly Arrival[]): Arrival {
  const digest = "f".repeat(16) as Digest;
  return { ...arrivals[0]!, digest, poison: true, measured: false };
}
