import fc from "fast-check";
import { expect, test } from "vitest";
import type { Timestamp } from "../../core/time.ts";
import { HeldParts } from "./held_parts.ts";

const HELD_MS = 1_000;
const parts = (keys: string) => [...keys].map((key) => ({ key, tokens: 100 }));
const at = (ms: number) => ms as Timestamp;

/** Confidence in each leading part of `keys`, with room for `freeTokens`. */
function believed(
  held: HeldParts<string>,
  keys: string,
  options: Readonly<{ now: number; freeTokens?: number }>,
): readonly number[] {
  const { now, freeTokens = 1e6 } = options;
  return held.leading(parts(keys), {
    now: at(now),
    heldMs: HELD_MS,
    freeTokens,
  }).map(({ confidence }) => Number(confidence.toFixed(2)));
}

test("parts are believed by the time since their last use, and fully while in use", () => {
  const held = HeldParts.create<string>({ maxParts: 9 });
  held.store(parts("ab"), at(0));
  held.store(parts("a"), at(200), { inUse: true });
  expect(believed(held, "abc", { now: 500 })).toEqual([1, 0.5]);
  held.release(parts("a"), at(600));
  expect(believed(held, "ab", { now: 850 })).toEqual([0.75, 0.15]);
  expect(believed(held, "ab", { now: 1_100 })).toEqual([0.5]);
  expect(believed(held, "b", { now: 1_100 })).toEqual([]);
});

test("unused parts that don't fit into memory are not believed, the least recently used first", () => {
  const held = HeldParts.create<string>({ maxParts: 9 });
  held.store(parts("ab"), at(0));
  held.store(parts("c"), at(0), { inUse: true });
  expect(believed(held, "ab", { now: 0, freeTokens: 200 })).toEqual([1, 1]);
  expect(believed(held, "ab", { now: 0, freeTokens: 199 })).toEqual([]);
  expect(believed(held, "b", { now: 0, freeTokens: 100 })).toEqual([1]);
  expect(believed(held, "c", { now: 0, freeTokens: 0 })).toEqual([1]);
});

test("the number of parts is bounded, whatever is stored, evicted or released", () => {
  const keys = fc.string({ maxLength: 12 });
  const change = fc.tuple(
    fc.constantFrom("store", "use", "release", "evict"),
    keys,
  );
  fc.assert(
    fc.property(fc.array(change, { maxLength: 20 }), (changes) => {
      const held = HeldParts.create<string>({ maxParts: 8 });
      changes.forEach(([type, text], i) => {
        if (type === "evict") held.evict([...text]);
        else if (type === "release") held.release(parts(text), at(i));
        else held.store(parts(text), at(i), { inUse: type === "use" });
        expect(held.size).toBeLessThanOrEqual(8);
      });
    }),
    { seed: 52, numRuns: 200 },
  );
});
