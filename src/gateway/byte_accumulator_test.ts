import { Buffer } from "node:buffer";
import { expect, test } from "vitest";
import { ByteAccumulator } from "./byte_accumulator.ts";

test("gathers bytes in order, and leaves the first piece as it was", () => {
  const gathered = ByteAccumulator.create();
  const first = Buffer.from("ab");
  for (const piece of [first, Buffer.from("c"), Buffer.from("def")]) {
    gathered.append(piece);
  }
  expect(gathered.bytes.toString()).toBe("abcdef");
  expect(first.toString()).toBe("ab");
});

test("bytes that were handed out stay as they are after a reset", () => {
  const gathered = ByteAccumulator.create();
  gathered.append(Buffer.from("ab"));
  gathered.append(Buffer.from("cd"));
  const event = gathered.bytes.subarray(0, 3);
  gathered.reset(gathered.bytes.subarray(3));
  gathered.append(Buffer.from("ef"));
  expect([event.toString(), gathered.bytes.toString()]).toEqual(["abc", "def"]);
});

// Guards against a cost by the number of pieces, which the sender chooses.
test("gathering a body in pieces of one byte copied each byte many times", () => {
  const gathered = ByteAccumulator.create();
  const count = 1 << 20;
  const piece = Buffer.from("x");
  for (let i = 0; i < count; i += 1) gathered.append(piece);
  expect(gathered.length).toBe(count);
  expect(gathered.copiedBytes).toBeLessThan(4 * count);
});
