import { Buffer } from "node:buffer";
import { expect, test } from "vitest";
import { digestPrompt } from "../../src/engine/block_digests.ts";
import { readPrompt } from "./prompt_reader.ts";

const HEAD = JSON.stringify({
  request: "r",
  attempt: "a",
  model: "m",
  version: "v1",
  max_tokens: 1,
  priority: 0,
  deadline_ms: 1,
});

async function* chunks(text: Buffer, size: number): AsyncGenerator<Buffer> {
  for (let start = 0; start < text.length; start += size) {
    yield await Promise.resolve(text.subarray(start, start + size));
  }
}

test.each([1, 2, 3, 5, 7, 64, 10_000])(
  "head, prompt and marker are found in chunks of %i bytes",
  async (size) => {
    const prompt = Buffer.from(`${"a".repeat(20)}<crash>\n${"b".repeat(20)}`);
    const body = Buffer.concat([Buffer.from(`${HEAD}\n`), prompt]);
    const read = await readPrompt(chunks(body, size), "<crash>");
    expect(read._unsafeUnwrap()).toMatchObject({
      head: { attempt: "a" },
      prompt: digestPrompt(prompt),
      poison: true,
    });
    const other = await readPrompt(chunks(body, size), "<crash!>");
    expect(other._unsafeUnwrap().poison).toBe(false);
  },
);

test("a body without a whole head is refused", async () => {
  for (const body of ["", "{}\nprompt", HEAD]) {
    const read = await readPrompt(chunks(Buffer.from(body), 64), "");
    expect(read.isErr()).toBe(true);
  }
});
