import { Buffer } from "node:buffer";
import { expect, test } from "vitest";
import { BufferPool } from "./buffer_pool.ts";
import { ByteAccumulator } from "./byte_accumulator.ts";

const KIB = 1 << 10;

test("a buffer is used again for the next one of its size", () => {
  const pool = BufferPool.create({ maxBytes: 128 * KIB });
  const first = pool.take(64 * KIB);
  pool.give(first);
  expect(pool.take(128 * KIB)).not.toBe(first);
  expect(pool.take(64 * KIB)).toBe(first);
  expect(pool.take(64 * KIB)).not.toBe(first);
});

test("no more is kept than the pool may, and nothing after it was cleared", () => {
  const pool = BufferPool.create({ maxBytes: 64 * KIB });
  const [one, other] = [pool.take(64 * KIB), pool.take(64 * KIB)];
  pool.give(one);
  pool.give(other);
  expect([pool.take(64 * KIB), pool.take(64 * KIB)]).not.toContain(other);
  pool.give(one);
  pool.clear();
  expect(pool.take(64 * KIB)).not.toBe(one);
});

test("bytes that were handed out are not in a buffer that is used again", () => {
  const pool = BufferPool.create({ maxBytes: KIB * KIB });
  const gather = (text: string) => {
    const gathered = ByteAccumulator.create({ pool });
    for (let i = 0; i < 100; i += 1) gathered.append(Buffer.alloc(KIB, text));
    return gathered;
  };
  const kept = gather("a");
  const bytes = kept.bytes;
  kept.reset();
  kept.release();
  gather("b").release();
  gather("c");
  expect(bytes.equals(Buffer.alloc(100 * KIB, "a"))).toBe(true);
});
