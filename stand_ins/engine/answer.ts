import xxhash from "xxhash-wasm";
import type { Digest } from "../../src/core/id.ts";
import type { Weights } from "../../src/core/request.ts";

/** Mean length of an answer in tokens, before `max_tokens` cuts it. */
export const MEAN_ANSWER_TOKENS = 100;

const UINT32_RANGE = 2 ** 32;
const WORD_DIGITS = 4;
const { h32 } = await xxhash();

/** What an answer depends on. */
export type AnswerKey = Readonly<{ prompt: Digest; weights: Weights }>;

/** Length of the answer in tokens: geometric with the given mean, at least 1, cut at `maxTokens`. */
export function answerLength(
  prompt: Digest,
  maxTokens: number,
  meanTokens = MEAN_ANSWER_TOKENS,
): number {
  const uniform = (h32(`length ${prompt}`) + 1) / (UINT32_RANGE + 1);
  const drawn = 1 + Math.floor(-Math.log(uniform) * meanTokens);
  return Math.min(maxTokens, drawn);
}

/** Text of one answer token. */
export function answerToken(key: AnswerKey, index: number): string {
  const { model, version, adapter = "" } = key.weights;
  const hash = h32(`${key.prompt} ${model}/${version}/${adapter} ${index}`);
  return ` ${hash.toString(36).padStart(WORD_DIGITS, "0").slice(-WORD_DIGITS)}`;
}

/** Text of the first `count` answer tokens. */
export function answerText(key: AnswerKey, count: number): string {
  return Array.from({ length: count }, (_, i) => answerToken(key, i)).join("");
}
