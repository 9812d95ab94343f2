import { build, type Histogram } from "hdr-histogram-js";
import { capacityPerSecond } from "./prompt_mix.ts";
import { teamFairness, type TeamWork } from "./fairness.ts";
import { type PromptRecord, wasInTime, wasRefused } from "./prompt_record.ts";
import type { Scenario } from "./scenario.ts";
import { teamShares } from "./workload.ts";

/** Length classes of the figures, in tokens. */
export const LENGTH_CLASSES = [
  { name: "<=4k", from: 0, to: 4_000 },
  { name: "4k-32k", from: 4_000, to: 32_000 },
  { name: "32k-128k", from: 32_000, to: 128_000 },
  { name: ">128k", from: 128_000, to: Infinity },
] as const;

/** Histograms count units of 0.01 ms. */
const UNITS_PER_MS = 100;
const OVERSIZED_TOKENS = 450_000;
const TARGET_TTFT_MS = 340;
const TARGET_ITL_MS = 39;

type Quantiles = Readonly<
  { p50: number | null; p95: number | null; p99: number | null }
>;

/** The figures of one run, as `--json` prints them. */
export type Summary = Readonly<{
  scenario: string;
  policy: string;
  seed: number;
  load: number;
  minutes: number;
  faults: "on" | "off";
  capacity_per_s: number;
  ttft_ms: Readonly<Record<string, Quantiles>>;
  /** Part of all prompts that were not refused whose first token came within 340 ms. */
  ttft_340_ratio: number;
  hol_ratio: number | null;
  itl_ms: Readonly<{ p95: number | null; ratio_39: number }>;
  offered: number;
  admitted: number;
  in_time: number;
  refused: Readonly<Record<string, number>>;
  /** Admitted prompts that were not answered in time, by what ended them. */
  missed: Readonly<Record<string, number>>;
  goodput_ratio: number;
  /** Part of the admitted prompts that ended in time, all and those over 128,000 tokens. */
  in_time_ratio: number;
  long: Readonly<{ offered: number; admitted: number; in_time: number }>;
  oversized: Readonly<{ done: number; offered: number; admitted: number }>;
  team_fairness: number;
  retries: number;
  engines_lost: number;
  /** Those of them that a poison prompt crashed. */
  engines_poisoned: number;
}>;

/** A histogram of times. */
export class TimeHistogram {
  readonly #histogram: Histogram = build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: 100_000_000,
    numberOfSignificantValueDigits: 3,
  });
  #within = 0;
  readonly #limitMs: number;

  private constructor(limitMs: number) {
    this.#limitMs = limitMs;
  }

  /** Also counts the values up to `limitMs`. */
  static create(limitMs: number): TimeHistogram {
    return new TimeHistogram(limitMs);
  }

  add(ms: number): void {
    const value = Math.max(1, Math.round(ms * UNITS_PER_MS));
    this.#histogram.recordValue(Math.min(value, 99_999_999));
    if (ms <= this.#limitMs) this.#within += 1;
  }

  get withinRatio(): number {
    const { totalCount } = this.#histogram;
    return totalCount === 0 ? 1 : round(this.#within / totalCount, 4);
  }

  quantile(percent: number): number | null {
    if (this.#histogram.totalCount === 0) return null;
    const value = this.#histogram.getValueAtPercentile(percent);
    return round(value / UNITS_PER_MS, 1);
  }

  quantiles(): Quantiles {
    return {
      p50: this.quantile(50),
      p95: this.quantile(95),
      p99: this.quantile(99),
    };
  }
}

/** Builds the histogram of the times between tokens. */
export function gapHistogram(): TimeHistogram {
  return TimeHistogram.create(TARGET_ITL_MS);
}

/** Returns the p99 of the first-token times of the shortest class. */
export function shortP99(records: readonly PromptRecord[]): number | null {
  const { from, to } = LENGTH_CLASSES[0];
  return ttftOf(measuredOf(records).filter(isLength(from, to))).quantile(99);
}

/** What a summary is made from, beside the records. */
export type SummaryParts = Readonly<{
  scenario: Scenario;
  policy: string;
  seed: number;
  load: number;
  windowMs: number;
  faults: boolean;
  gaps: TimeHistogram;
  /** p99 of the shortest class in the run without longer prompts. */
  aloneP99: number | null;
  retries: number;
  enginesLost: number;
  enginesPoisoned: number;
}>;

/** Builds the figures of one run. */
export function summarize(
  all: readonly PromptRecord[],
  parts: SummaryParts,
): Summary {
  const records = measuredOf(all);
  const admitted = records.filter((one) => !wasRefused(one));
  const inTime = admitted.filter(wasInTime);
  const long = records.filter(isLength(128_000, Infinity));
  const oversized = records.filter(isLength(OVERSIZED_TOKENS, Infinity));
  const p99 = shortP99(all);
  const { aloneP99, scenario } = parts;
  return {
    scenario: scenario.name,
    policy: parts.policy,
    seed: parts.seed,
    load: parts.load,
    minutes: round(parts.windowMs / 60_000, 2),
    faults: parts.faults ? "on" : "off",
    capacity_per_s: round(capacityPerSecond(scenario.engines), 3),
    ttft_ms: Object.fromEntries(
      LENGTH_CLASSES.map(({ name, from, to }) => [
        name,
        ttftOf(records.filter(isLength(from, to))).quantiles(),
      ]),
    ),
    ttft_340_ratio: ttftOf(admitted).withinRatio,
    hol_ratio: p99 === null || aloneP99 === null
      ? null
      : round(p99 / aloneP99, 3),
    itl_ms: {
      p95: parts.gaps.quantile(95),
      ratio_39: parts.gaps.withinRatio,
    },
    offered: records.length,
    admitted: admitted.length,
    in_time: inTime.length,
    refused: countBy(records.filter(wasRefused)),
    missed: countBy(admitted.filter((one) => !wasInTime(one))),
    goodput_ratio: goodput(records, scenario.engines, parts.windowMs),
    in_time_ratio: ratio(inTime.length, admitted.length),
    long: {
      offered: long.length,
      admitted: long.filter((one) => !wasRefused(one)).length,
      in_time: long.filter(wasInTime).length,
    },
    oversized: {
      done: oversized.filter(wasInTime).length,
      offered: oversized.length,
      admitted: oversized.filter((one) => !wasRefused(one)).length,
    },
    team_fairness: fairness(records, scenario),
    retries: parts.retries,
    engines_lost: parts.enginesLost,
    engines_poisoned: parts.enginesPoisoned,
  };
}

function measuredOf(records: readonly PromptRecord[]): readonly PromptRecord[] {
  return records.filter((one) => one.arrival.measured);
}

function isLength(from: number, to: number) {
  return ({ arrival }: PromptRecord) =>
    arrival.promptTokens > from && arrival.promptTokens <= to;
}

/** An admitted prompt without a first token counts with the whole time that it had. */
function ttftOf(records: readonly PromptRecord[]): TimeHistogram {
  const histogram = TimeHistogram.create(TARGET_TTFT_MS);
  for (const record of records) {
    if (wasRefused(record)) continue;
    const { firstTokenAt, sentAt, arrival } = record;
    histogram.add(
      firstTokenAt === undefined ? arrival.deadlineMs : firstTokenAt - sentAt,
    );
  }
  return histogram;
}

/** Useful tokens over the tokens that the engines could have served of this load at the most. */
function goodput(
  records: readonly PromptRecord[],
  engines: number,
  windowMs: number,
): number {
  let offeredTokens = 0;
  let offeredMs = 0;
  let usefulTokens = 0;
  for (const record of records) {
    const { promptTokens, answerTokens, workMs } = record.arrival;
    offeredTokens += promptTokens + answerTokens;
    offeredMs += workMs;
    if (wasInTime(record)) usefulTokens += promptTokens + answerTokens;
  }
  const possible = Math.min(1, engines * windowMs / offeredMs);
  return ratio(usefulTokens, offeredTokens * possible);
}

function fairness(
  records: readonly PromptRecord[],
  scenario: Scenario,
): number {
  const teams: TeamWork[] = teamShares(scenario.teams).map((share, team) => {
    const own = records.filter((one) => one.arrival.team === team);
    return {
      share,
      offered: workOf(own),
      served: workOf(own.filter(wasInTime)),
    };
  });
  return round(teamFairness(teams), 4);
}

function workOf(records: readonly PromptRecord[]): number {
  return records.reduce((sum, one) => sum + one.arrival.workMs, 0);
}

function countBy(records: readonly PromptRecord[]): Record<string, number> {
  const counts: Record<string, number> = {};
  for (const { result } of records) {
    const reason = result === "ok" ? "late" : result ?? "unanswered";
    counts[reason] = (counts[reason] ?? 0) + 1;
  }
  return counts;
}

function ratio(part: number, whole: number): number {
  return whole === 0 ? 1 : round(part / whole, 4);
}

function round(value: number, digits: number): number {
  return Number(value.toFixed(digits));
}
