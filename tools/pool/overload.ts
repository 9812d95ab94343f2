import type { EnginePace } from "../../src/scheduling/pool/engine_pace.ts";
import { engineMs } from "../../src/scheduling/pool/engine_worth.ts";
import { type Callers, play, type PlayedPool, type Served } from "./play.ts";
import { POLICIES } from "./policies.ts";
import { worthOf } from "./summary.ts";
import { drawArrivals, type PromptKind } from "./workload.ts";

/** A pool with the kinds of prompts that it serves; the rates only give their proportions. */
export type Shape = Readonly<
  { pool: PlayedPool; kinds: readonly PromptKind[] }
>;

const LOAD_MS = 12_000;
/** Load that is drawn to learn the mean engine time of a shape. */
const SAMPLE_MS = 120_000;

/** Callers come again once, some at once and more often. */
export const CALLERS: Callers = { returns: 1, atOnce: 0.15, returnsAtOnce: 4 };

const SHORT = {
  name: "short",
  perSecond: 61.5,
  meanTokens: 4_960,
  spread: 0.9,
  maxTokens: 23_800,
  events: 31,
  targetMs: 304,
  pauseMs: 250,
  leftMs: 10_122,
  worth: 1.3,
  lateWorth: 0.33,
  rank: 1,
} as const;
const MIDDLE = {
  ...SHORT,
  name: "middle",
  perSecond: 4.19,
  meanTokens: 45_000,
  spread: 0.5,
  maxTokens: 110_000,
  events: 18,
  targetMs: 1_506,
  pauseMs: 600,
  worth: 3.3,
  lateWorth: 0.83,
} as const;
const LONG = {
  ...SHORT,
  name: "long",
  perSecond: 2.58,
  meanTokens: 190_000,
  spread: 0.55,
  maxTokens: 600_000,
  events: 15,
  targetMs: 3_010,
  pauseMs: 1_000,
  leftMs: 15_049,
  worth: 20,
  lateWorth: 5.1,
} as const;

/** Engines with little memory, and kinds of one rank. */
const ONE_RANK_PACE: EnginePace = {
  slots: 8,
  memoryTokens: 197_200,
  stride: 48,
  chunkTokens: 2_048,
  stepMs: 1.02,
  streamMs: 0.00226,
  contextMs: 0.00431,
  prefillTokensPerMs: 206,
  pairsMs: 0.138,
};

/** Engines with more memory, and kinds of three ranks, the short ones most urgent. */
const RANKED_PACE: EnginePace = {
  ...ONE_RANK_PACE,
  memoryTokens: 405_000,
  stride: 38,
  stepMs: 1.31,
  streamMs: 0.000917,
  contextMs: 0.00213,
  prefillTokensPerMs: 154,
  pairsMs: 0.162,
};

/** The two customers' pools, scaled down to a part of their engines. */
export const SHAPES = {
  one_rank: {
    pool: { engines: 24, pace: ONE_RANK_PACE },
    kinds: [SHORT, MIDDLE, LONG],
  },
  ranked: {
    pool: { engines: 24, pace: RANKED_PACE },
    kinds: [
      {
        ...SHORT,
        perSecond: 65.1,
        events: 36,
        targetMs: 263,
        worth: 1.8,
        rank: 0,
      },
      { ...MIDDLE, perSecond: 7.91, events: 21, targetMs: 1_520, worth: 2.4 },
      {
        ...LONG,
        perSecond: 1.14,
        meanTokens: 260_000,
        maxTokens: 900_000,
        events: 18,
        targetMs: 8_035,
        worth: 12,
        rank: 2,
      },
    ],
  },
} as const satisfies Record<string, Shape>;

/** Arrivals at a multiple of what the shape's engines could do if no ms were lost. */
export function arrivalsAt(shape: Shape, multiple: number, seed: number) {
  const { kinds, pool } = shape;
  const draw = (ms: number, factor: number, seed: number) =>
    drawArrivals([{ ms, factors: kinds.map(() => factor) }], seed, kinds);
  let sampleMs = 0;
  for (const { tokens, answerTokens } of draw(SAMPLE_MS, 1, 1)) {
    sampleMs += engineMs({ promptTokens: tokens, answerTokens }, pool.pace);
  }
  const capacity = pool.engines * SAMPLE_MS / sampleMs;
  return draw(LOAD_MS, multiple * capacity, seed);
}

/** What callers got in time at a multiple of the capacity. */
export type Goodput = Readonly<{
  /** Worth in time, a second of load. */
  worthPerS: number;
  /** Fractions by kind: in time, served at all, and served of the largest tenth. */
  inTime: Readonly<Record<string, number>>;
  served: Readonly<Record<string, number>>;
  largest: Readonly<Record<string, number>>;
}>;

/** Plays a shape at a multiple of its capacity. */
export function goodputAt(
  shape: Shape,
  multiple: number,
  options: Readonly<
    { seeds: readonly number[]; policy?: keyof typeof POLICIES }
  >,
): Goodput {
  const { seeds, policy = "scheduled" } = options;
  const played = seeds.flatMap((seed) =>
    play(arrivalsAt(shape, multiple, seed), POLICIES[policy], {
      pool: shape.pool,
      callers: CALLERS,
    })
  );
  const inTime = played.filter((one) => one.outcome === "in_time");
  let worth = 0;
  for (const { arrival } of inTime) worth += worthOf(arrival);
  const fractions = (pick: (kind: readonly Served[]) => number) =>
    Object.fromEntries(shape.kinds.map(({ name }) => [
      name,
      pick(played.filter((one) => one.arrival.kind.name === name)),
    ]));
  return {
    worthPerS: worth / seeds.length / (LOAD_MS / 1_000),
    inTime: fractions((kind) => fraction(kind, ["in_time"])),
    served: fractions((kind) => fraction(kind, ["in_time", "late"])),
    largest: fractions((kind) =>
      fraction(largestTenth(kind), ["in_time", "late"])
    ),
  };
}

function largestTenth(served: readonly Served[]): readonly Served[] {
  return [...served].sort((a, b) => b.arrival.tokens - a.arrival.tokens)
    .slice(0, Math.ceil(served.length / 10));
}

function fraction(
  played: readonly Served[],
  outcomes: readonly Served["outcome"][],
): number {
  const hits = played.filter((one) => outcomes.includes(one.outcome));
  return Number((hits.length / Math.max(1, played.length)).toFixed(2));
}

/** The multiple, worth in time a second, then in time, served, and served of the largest tenth, by kind. */
export function rowOf(multiple: number, goodput: Goodput): string {
  const { worthPerS, inTime, served, largest } = goodput;
  const cells = (kinds: Readonly<Record<string, number>>) =>
    Object.values(kinds).map((one) => one.toFixed(2)).join(" ");
  return `${multiple}: ${Math.round(worthPerS)} | ${cells(inTime)} | ` +
    `${cells(served)} | ${cells(largest)}`;
}
