import type { Served } from "./play.ts";
import { type Arrival, KINDS } from "./workload.ts";

const WINDOW_MS = 2_000;
const SIZE_FLOOR = 0.3;
const MAX_SIZE = 4;
/** Parts of a kind that count by themselves: its largest prompts. */
const LARGEST = 0.1;

/** Credit earned over credit owed, in all and by part. */
export type Credit = Readonly<{
  whole: number;
  worstWindow: number;
  kinds: Readonly<Record<string, number>>;
  /** The largest tenth of the long prompts. */
  largest: number;
}>;

/** Sums up the credit of a played load. */
export function creditOf(served: readonly Served[]): Credit {
  const kinds: Record<string, number> = {};
  for (const { name } of KINDS) {
    kinds[name] = ratio(served.filter((one) => one.arrival.kind.name === name));
  }
  const windows = new Map<number, Served[]>();
  for (const one of served) {
    const window = Math.floor(one.arrival.at / WINDOW_MS);
    windows.set(window, [...(windows.get(window) ?? []), one]);
  }
  const long = served.filter((one) => one.arrival.kind.name === "long")
    .sort((a, b) => b.arrival.tokens - a.arrival.tokens);
  return {
    whole: ratio(served),
    worstWindow: Math.min(...[...windows.values()].map(ratio)),
    kinds,
    largest: ratio(long.slice(0, Math.ceil(long.length * LARGEST))),
  };
}

function ratio(served: readonly Served[]): number {
  let owed = 0;
  let earned = 0;
  for (const { arrival, outcome } of served) {
    const { worth, lateWorth } = arrival.kind;
    const owing = worthOf(arrival);
    owed += owing;
    if (outcome === "in_time") earned += owing;
    if (outcome === "late") earned += owing * lateWorth / worth;
  }
  return owed === 0 ? 1 : earned / owed;
}

/** What a prompt is worth in time: its kind's worth, by its size against the kind's mean. */
export function worthOf({ kind, tokens }: Arrival): number {
  const size = SIZE_FLOOR + (1 - SIZE_FLOOR) * tokens / kind.meanTokens;
  return kind.worth * Math.min(MAX_SIZE, size);
}
