import { Random } from "../../src/core/random.ts";
import type { Millis } from "../../src/core/time.ts";
import type { LeadingPart } from "../../src/scheduling/held/leading_parts.ts";

/** A kind of prompt, with what its callers expect and what it is worth. */
export type PromptKind = Readonly<{
  name: string;
  perSecond: number;
  meanTokens: number;
  /** Coefficient of variation of the prompt's size. */
  spread: number;
  maxTokens: number;
  events: number;
  targetMs: Millis;
  pauseMs: Millis;
  leftMs: Millis;
  worth: number;
  lateWorth: number;
  /** Rank of the kind's route. */
  rank?: number;
}>;

/** One prompt of a drawn load. */
export type Arrival = Readonly<{
  at: Millis;
  kind: PromptKind;
  tokens: number;
  answerTokens: number;
  /** Parts of the prompt from its start. */
  parts?: readonly LeadingPart[];
}>;

/** A span in which each kind comes at a multiple of its rate. */
export type Phase = Readonly<{ ms: Millis; factors: readonly number[] }>;

const EVENT_TOKENS = 51;
const ANSWER_SPREAD = 0.6;

/** Short, middle and long prompts in the proportions of the two deployments. */
export const KINDS: readonly PromptKind[] = [
  {
    name: "short",
    perSecond: 20.2,
    meanTokens: 4_960,
    spread: 0.9,
    maxTokens: 23_800,
    events: 33,
    targetMs: 300,
    pauseMs: 250,
    leftMs: 10_000,
    worth: 1.3,
    lateWorth: 0.33,
  },
  {
    name: "middle",
    perSecond: 1.02,
    meanTokens: 45_000,
    spread: 0.5,
    maxTokens: 110_000,
    events: 20,
    targetMs: 1_500,
    pauseMs: 600,
    leftMs: 10_000,
    worth: 4.2,
    lateWorth: 1,
  },
  {
    name: "long",
    perSecond: 0.617,
    meanTokens: 154_000,
    spread: 0.55,
    maxTokens: 700_000,
    events: 16,
    targetMs: 3_000,
    pauseMs: 1_000,
    leftMs: 15_000,
    worth: 21,
    lateWorth: 5.2,
  },
];

/** Waves of long prompts before and after a wave of short ones. */
export const WAVES: readonly Phase[] = [
  { ms: 9_500, factors: [0.35, 1.3, 2.8] },
  { ms: 9_500, factors: [2.45, 0.5, 0.05] },
  { ms: 9_500, factors: [0.35, 1.3, 2.8] },
];

/** Draws the arrivals of a load, in order of time. */
export function drawArrivals(
  phases: readonly Phase[],
  seed: number,
  kinds: readonly PromptKind[] = KINDS,
): readonly Arrival[] {
  const random = Random.create(seed);
  const arrivals: Arrival[] = [];
  let start = 0;
  for (const phase of phases) {
    kinds.forEach((kind, i) => {
      const gap = 1_000 / (kind.perSecond * phase.factors[i]!);
      for (let at = start + exponential(random, gap); at < start + phase.ms;) {
        arrivals.push({
          at,
          kind,
          tokens: lognormal(random, kind),
          answerTokens: answerOf(random, kind),
        });
        at += exponential(random, gap);
      }
    });
    start += phase.ms;
  }
  return arrivals.sort((a, b) => a.at - b.at);
}

function exponential(random: Random, mean: number): number {
  return -mean * Math.log(1 - random.next());
}

function lognormal(random: Random, kind: PromptKind): number {
  const sigma = Math.sqrt(Math.log(1 + kind.spread ** 2));
  const mu = Math.log(kind.meanTokens) - sigma ** 2 / 2;
  const tokens = Math.exp(mu + sigma * normal(random));
  return Math.round(Math.min(kind.maxTokens, Math.max(200, tokens)));
}

function answerOf(random: Random, kind: PromptKind): number {
  const factor = Math.exp(
    ANSWER_SPREAD * normal(random) - ANSWER_SPREAD ** 2 / 2,
  );
  return Math.max(1, Math.round(kind.events * factor * EVENT_TOKENS));
}

/** Box and Muller's transform. */
function normal(random: Random): number {
  const radius = Math.sqrt(-2 * Math.log(1 - random.next()));
  return radius * Math.cos(2 * Math.PI * random.next());
}
