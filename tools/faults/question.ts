import { Buffer } from "node:buffer";
import { randomUUID } from "node:crypto";
import type { ModelId, VersionId } from "../../src/core/id.ts";
import { digestPrompt } from "../../src/engine/block_digests.ts";
import { BYTES_PER_TOKEN } from "../../src/wire/engine.ts";
import { answerLength, answerText } from "../../stand_ins/engine/answer.ts";
import type { ReceivedStream } from "../lib/sse.ts";
import { expectSame, expectThat } from "./expect.ts";

/** Mean length of answers that the engines of a case are started with; most questions reach their limit. */
export const MEAN_ANSWER_TOKENS = 4_000;
const WEIGHTS = {
  model: "assistant" as ModelId,
  version: "2026-09" as VersionId,
};

/** A prompt and the one answer that the engine stand-in gives to it. */
export type Question = Readonly<{
  content: string;
  answerTokens: number;
  answer: string;
}>;

/** Makes up a prompt of a length whose answer has the given length, both in tokens. */
export function createQuestion(
  promptTokens: number,
  options: Readonly<{ answerTokens?: number; marker?: string }> = {},
): Question {
  const { answerTokens = 60, marker = "" } = options;
  for (;;) {
    const head = `${marker} ${randomUUID()} `;
    const content = head.padEnd(promptTokens * BYTES_PER_TOKEN, "x");
    const prompt = Buffer.from(`<|user|>\n${content}\n`);
    const { digest } = digestPrompt(prompt);
    const length = answerLength(digest, answerTokens, MEAN_ANSWER_TOKENS);
    if (length < answerTokens) continue;
    const key = { prompt: digest, weights: WEIGHTS };
    return { content, answerTokens, answer: answerText(key, answerTokens) };
  }
}

/** Checks that a stream, or the rest of one, is the whole answer to its question. */
export function expectWhole(
  received: ReceivedStream,
  question: Question,
  after = 0,
): void {
  const { status, problem, count, lastEvent, text } = received;
  expectThat(status === 200, `status ${status}: ${problem}`);
  expectThat(problem === undefined, `the stream failed: ${problem}`);
  expectSame("tokens of the final event", count, question.answerTokens);
  expectSame("last event", lastEvent, question.answerTokens);
  const width = question.answer.length / question.answerTokens;
  expectSame("text", text, question.answer.slice(after * width));
}
