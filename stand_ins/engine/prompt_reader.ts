import { Buffer } from "node:buffer";
import { err, ok, type Result } from "neverthrow";
import {
  type PromptDigest,
  PromptDigester,
} from "../../src/engine/block_digests.ts";
import {
  type GenerateHead,
  GenerateHeadSchema,
} from "../../src/wire/engine.ts";

const MAX_HEAD_BYTES = 1_048_576;
const MAX_PROMPT_BYTES = 64 * 1_048_576;
const NEWLINE = 10;

/** A whole generate request; the prompt itself is not kept. */
export type ReadPrompt = Readonly<
  { head: GenerateHead; prompt: PromptDigest; poison: boolean }
>;

/** Reads a generate request while it streams in; the error says what is wrong with it. */
export async function readPrompt(
  body: AsyncIterable<Buffer>,
  marker: string,
): Promise<Result<ReadPrompt, string>> {
  const head: Buffer[] = [];
  const digester = PromptDigester.create();
  const scanner = MarkerScanner.create(marker);
  let headBytes = 0;
  let promptBytes = 0;
  let inPrompt = false;
  for await (const chunk of body) {
    let rest = chunk;
    if (!inPrompt) {
      const end = chunk.indexOf(NEWLINE);
      inPrompt = end >= 0;
      head.push(inPrompt ? chunk.subarray(0, end) : chunk);
      headBytes += chunk.byteLength;
      if (!inPrompt && headBytes > MAX_HEAD_BYTES) return err("Head too large");
      if (!inPrompt) continue;
      rest = chunk.subarray(end + 1);
    }
    promptBytes += rest.byteLength;
    if (promptBytes > MAX_PROMPT_BYTES) return err("Prompt too large");
    digester.update(rest);
    scanner.update(rest);
  }
  const parsed = GenerateHeadSchema.safeParse(parseJson(Buffer.concat(head)));
  if (!inPrompt || !parsed.success) {
    return err(parsed.error?.message ?? "Prompt is missing");
  }
  const prompt = digester.end();
  return ok({ head: parsed.data, prompt, poison: scanner.found });
}

/** Looks for a marker text, also across the borders of chunks. */
class MarkerScanner {
  readonly #marker: Buffer;
  #tail = Buffer.alloc(0);
  found = false;

  private constructor(marker: string) {
    this.#marker = Buffer.from(marker);
  }

  static create(marker: string): MarkerScanner {
    return new MarkerScanner(marker);
  }

  update(chunk: Buffer): void {
    const size = this.#marker.byteLength;
    if (size === 0 || this.found) return;
    const border = Buffer.concat([this.#tail, chunk.subarray(0, size)]);
    this.found = border.includes(this.#marker) || chunk.includes(this.#marker);
    const kept = Buffer.concat([this.#tail, chunk.subarray(-size)]);
    this.#tail = kept.subarray(-(size - 1) || kept.length);
  }
}

function parseJson(body: Buffer): unknown {
  try {
    return JSON.parse(body.toString());
  } catch {
    return undefined;
  }
}
