import { Buffer } from "node:buffer";
import fc from "fast-check";
import { expect, test } from "vitest";
import { BLOCK_BYTES, digestPrompt } from "./block_digests.ts";

function text(length: number): Buffer {
  return Buffer.from(Array.from({ length }, (_, i) => (i * 31 + i / 97) % 251));
}

test("digests do not depend on how the text is split into chunks", () => {
  const whole = text(5 * BLOCK_BYTES + 17);
  const expected = digestPrompt(whole);
  fc.assert(
    fc.property(
      fc.array(fc.integer({ min: 0, max: whole.length }), { maxLength: 12 }),
      (cuts) => {
        const at = [0, ...cuts.sort((a, b) => a - b), whole.length];
        const chunks = at.slice(1).map((to, i) => whole.subarray(at[i], to));
        expect(digestPrompt(chunks)).toEqual(expected);
      },
    ),
    { seed: 1, numRuns: 100 },
  );
});

test("a block's digest depends on all text up to its end", () => {
  const first = text(4 * BLOCK_BYTES);
  const second = Buffer.from(first);
  second[BLOCK_BYTES] = 255;
  const a = digestPrompt(first).blocks;
  const b = digestPrompt(second).blocks;
  expect(a.map((digest, i) => digest === b[i])).toEqual([
    true,
    false,
    false,
    false,
  ]);
});

test("a trailing partial block changes only the digest of the whole text", () => {
  const short = digestPrompt(text(BLOCK_BYTES + 5));
  const long = digestPrompt(text(BLOCK_BYTES + 6));
  expect(short.blocks).toEqual(long.blocks);
  expect(short.digest).not.toBe(long.digest);
  expect(digestPrompt(text(3))).toMatchInlineSnapshot(`
    {
      "blocks": [],
      "bytes": 3,
      "digest": "94e1c77d23e949c5fe5b5309709054b595ae0ddd29b86b0b4f89ba8a7de870fe",
    }
  `);
});
