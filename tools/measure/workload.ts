import type { Digest } from "../../src/core/id.ts";
import { Random } from "../../src/core/random.ts";
import { type Millis, SECOND_MS } from "../../src/core/time.ts";
import { BLOCK_TOKENS } from "../../src/wire/engine.ts";
import {
  capacityPerSecond,
  drawAnswer,
  drawRow,
  drawTokens,
  prefillWorkMs,
  PROMPT_ROWS,
  type PromptRow,
  sharedTokens,
} from "./prompt_mix.ts";
import { inSwing, type Scenario } from "./scenario.ts";

/** One prompt that a client sends. */
export type Arrival = Readonly<{
  /** Milliseconds after the start of the measured window; negative while warming up. */
  at: Millis;
  team: number;
  digest: Digest;
  promptTokens: number;
  answerTokens: number;
  /** Largest answer that the client asks for. */
  maxTokens: number;
  deadlineMs: Millis;
  blocks: readonly Digest[];
  /** Prefill work with the shared prefix cached. */
  workMs: Millis;
  /** Whether it counts in the figures. */
  measured: boolean;
  /** Chooses the daemon that the client connects to. */
  client: number;
  poison: boolean;
}>;

/** How much is sent, and for how long. */
export type WorkloadOptions = Readonly<{
  load: number;
  windowMs: Millis;
  warmMs: Millis;
  /** Load that goes on after the window, so that late answers meet a busy fleet. */
  tailMs: Millis;
}>;

const CLIENTS = 400;
const PREFIXES_PER_TEAM = 4;
const FLOOD_TEAM = 5;
const FLOOD_SHARE = 0.5;
const MAX_ANSWER_FACTOR = 10;
const HEX = 16;
const HALF_DIGITS = 8;

/** Draws all arrivals of a run. */
export function drawArrivals(
  scenario: Scenario,
  seed: number,
  options: WorkloadOptions,
): readonly Arrival[] {
  const random = Random.create(seed);
  const capacity = capacityPerSecond(scenario.engines);
  const peak = capacity * 5;
  const arrivals = [...drawPrefixes(scenario, options.warmMs)];
  let at = -options.warmMs;
  while (true) {
    at += -Math.log(1 - random.next()) / peak * SECOND_MS;
    if (at >= options.windowMs + options.tailMs) return arrivals;
    const rate = capacity *
      scenario.rate(options.load, Math.max(0, at), options.windowMs);
    if (random.next() >= rate / peak) continue;
    arrivals.push(drawArrival(scenario, random, {
      at,
      number: arrivals.length,
      windowMs: options.windowMs,
    }));
  }
}

/** Each shared prefix once in full, early in the warm-up: later prompts share it with these. */
function drawPrefixes(
  scenario: Scenario,
  warmMs: Millis,
): readonly Arrival[] {
  const owners = scenario.sharedCatalogue ? 1 : scenario.teams;
  const all = PROMPT_ROWS.filter((row) => row.sharedChance > 0)
    .flatMap((row) =>
      Array.from({ length: owners * PREFIXES_PER_TEAM }, (_, i) => ({
        row,
        team: Math.floor(i / PREFIXES_PER_TEAM),
        pick: i % PREFIXES_PER_TEAM,
      }))
    );
  return all.map(({ row, team, pick }, i) => {
    const prefix = prefixOf(scenario, row, { team, pick });
    const tokens = sharedTokens(row, row.maxTokens);
    return {
      at: -warmMs + i / all.length * warmMs / 2,
      team,
      digest: digestOf(prefix, 0xffffffff),
      promptTokens: tokens,
      answerTokens: 1,
      maxTokens: 1,
      deadlineMs: row.deadlineMs,
      blocks: blockDigests(tokens, prefix, { prefix, tokens }),
      workMs: prefillWorkMs(tokens, 0),
      measured: false,
      client: i,
      poison: false,
    };
  });
}

/** Returns the chance of each team, by Zipf with exponent 1. */
export function teamShares(teams: number): readonly number[] {
  const weights = Array.from({ length: teams }, (_, i) => 1 / (i + 1));
  const sum = weights.reduce((a, b) => a + b, 0);
  return weights.map((weight) => weight / sum);
}

/** Returns the digests of a prompt's blocks: shared ones first, then its own. */
export function blockDigests(
  tokens: number,
  own: number,
  shared: Readonly<{ prefix: number; tokens: number }>,
): readonly Digest[] {
  const sharedBlocks = shared.tokens / BLOCK_TOKENS;
  const blocks = Math.floor(tokens / BLOCK_TOKENS);
  return Array.from(
    { length: blocks },
    (_, i) => digestOf(i < sharedBlocks ? shared.prefix : own, i),
  );
}

function drawArrival(
  scenario: Scenario,
  random: Random,
  options: Readonly<{ at: Millis; number: number; windowMs: Millis }>,
): Arrival {
  const { at, number } = options;
  const row = drawRow(random);
  const promptTokens = drawTokens(row, random);
  const maxTokens = row.meanAnswerTokens * MAX_ANSWER_FACTOR;
  const answerTokens = Math.min(maxTokens, drawAnswer(row, random));
  const team = drawTeam(scenario, random, at);
  const cached = random.next() < row.sharedChance
    ? sharedTokens(row, promptTokens)
    : 0;
  const prefix = prefixOf(scenario, row, {
    team,
    pick: random.below(PREFIXES_PER_TEAM),
  });
  const own = 0x80000000 + number;
  return {
    at,
    team,
    digest: digestOf(own, 0xffffffff),
    promptTokens,
    answerTokens,
    maxTokens,
    deadlineMs: row.deadlineMs,
    blocks: blockDigests(promptTokens, own, { prefix, tokens: cached }),
    workMs: prefillWorkMs(promptTokens, cached),
    measured: at >= 0 && at < options.windowMs,
    client: random.below(CLIENTS),
    poison: false,
  };
}

function drawTeam(scenario: Scenario, random: Random, at: Millis): number {
  const flooded = scenario.flood && inSwing(at) && random.next() < FLOOD_SHARE;
  if (flooded) return FLOOD_TEAM;
  let left = random.next();
  const shares = teamShares(scenario.teams);
  for (const [team, share] of shares.entries()) {
    left -= share;
    if (left < 0) return team;
  }
  return 0;
}

function prefixOf(
  scenario: Scenario,
  row: PromptRow,
  options: Readonly<{ team: number; pick: number }>,
): number {
  const owner = scenario.sharedCatalogue ? 0 : options.team;
  return row.minTokens * 100 + owner * PREFIXES_PER_TEAM + options.pick;
}

function digestOf(high: number, low: number): Digest {
  const text = high.toString(HEX).padStart(HALF_DIGITS, "0") +
    low.toString(HEX).padStart(HALF_DIGITS, "0");
  return text as Digest;
}
