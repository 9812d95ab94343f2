import type { Random } from "../../src/core/random.ts";
import { BLOCK_TOKENS } from "../../src/wire/engine.ts";

/** One row of the table of prompts in docs/ENGINE_MODEL.md. */
export type PromptRow = Readonly<{
  share: number;
  minTokens: number;
  maxTokens: number;
  /** Part of the prompt that a shared prefix covers, and how many prompts have one. */
  sharedPart: number;
  sharedChance: number;
  meanAnswerTokens: number;
  deadlineMs: number;
}>;

/** The mix of prompts, shortest first. */
export const PROMPT_ROWS: readonly PromptRow[] = [
  {
    share: 0.9,
    minTokens: 1_000,
    maxTokens: 4_000,
    sharedPart: 0.3,
    sharedChance: 0.5,
    meanAnswerTokens: 100,
    deadlineMs: 10_000,
  },
  {
    share: 0.075,
    minTokens: 4_000,
    maxTokens: 20_000,
    sharedPart: 0.8,
    sharedChance: 0.9,
    meanAnswerTokens: 200,
    deadlineMs: 30_000,
  },
  {
    share: 0.005,
    minTokens: 20_000,
    maxTokens: 100_000,
    sharedPart: 0.5,
    sharedChance: 0.3,
    meanAnswerTokens: 400,
    deadlineMs: 120_000,
  },
  {
    share: 0.02,
    minTokens: 100_000,
    maxTokens: 1_000_000,
    sharedPart: 0,
    sharedChance: 0,
    meanAnswerTokens: 800,
    deadlineMs: 600_000,
  },
];

/** Costs of one engine, from docs/ENGINE_MODEL.md; used to compute the capacity only. */
const STEP_MS = 8;
const TOKEN_MS = 0.05;
const CONTEXT_SCALE_TOKENS = 200_000;
const STEP_TOKENS = 512;
const QUANTILES = 2_000;

/** Returns the prefill work of a prompt on an otherwise idle engine, in milliseconds. */
export function prefillWorkMs(tokens: number, cachedTokens: number): number {
  const fresh = tokens - cachedTokens;
  const squares = tokens * tokens - cachedTokens * cachedTokens;
  const steps = Math.ceil(fresh / STEP_TOKENS);
  return steps * STEP_MS +
    TOKEN_MS * (fresh + squares / (2 * CONTEXT_SCALE_TOKENS));
}

/** Returns the tokens of a prompt of this row that whole shared blocks cover. */
export function sharedTokens(row: PromptRow, tokens: number): number {
  return Math.floor(tokens * row.sharedPart / BLOCK_TOKENS) * BLOCK_TOKENS;
}

/** Returns the mean prefill work of a request in milliseconds, shared prefixes cached. */
export function meanWorkMs(): number {
  return PROMPT_ROWS.reduce((sum, row) => sum + row.share * rowWorkMs(row), 0);
}

/** Returns how many requests a second fill `engines` engines with prefill alone. */
export function capacityPerSecond(engines: number): number {
  return engines * 1_000 / meanWorkMs();
}

/** Draws a length from a row, log-uniform. */
export function drawTokens(row: PromptRow, random: Random): number {
  return tokensAt(row, random.next());
}

/** Draws a row by its share. */
export function drawRow(random: Random): PromptRow {
  let left = random.next();
  for (const row of PROMPT_ROWS) {
    left -= row.share;
    if (left < 0) return row;
  }
  return PROMPT_ROWS[0] as PromptRow;
}

/** Draws the answer's tokens, geometric and at least one. */
export function drawAnswer(row: PromptRow, random: Random): number {
  const stay = 1 - 1 / row.meanAnswerTokens;
  return 1 + Math.floor(Math.log(1 - random.next()) / Math.log(stay));
}

function tokensAt(row: PromptRow, quantile: number): number {
  const ratio = row.maxTokens / row.minTokens;
  return Math.round(row.minTokens * ratio ** quantile);
}

function rowWorkMs(row: PromptRow): number {
  let sum = 0;
  for (let i = 0; i < QUANTILES; i += 1) {
    const tokens = tokensAt(row, (i + 0.5) / QUANTILES);
    const shared = sharedTokens(row, tokens);
    sum += row.sharedChance * prefillWorkMs(tokens, shared) +
      (1 - row.sharedChance) * prefillWorkMs(tokens, 0);
  }
  return sum / QUANTILES;
}
