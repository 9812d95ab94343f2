import fc from "fast-check";
import { expect, test } from "vitest";
import type { Digest, UpstreamId } from "../core/id.ts";
import { PrefixIndex } from "./prefix_index.ts";

type Change = Readonly<
  { type: "store" | "evict" | "clear"; engine: UpstreamId; blocks: Digest[] }
>;

const engine = fc.constantFrom("e1", "e2") as fc.Arbitrary<UpstreamId>;
const blocks = fc.array(
  fc.constantFrom("a", "b", "c", "d", "e") as fc.Arbitrary<Digest>,
  { maxLength: 5 },
);
const change: fc.Arbitrary<Change> = fc.record({
  type: fc.constantFrom("store", "evict", "clear"),
  engine,
  blocks,
});

/** Reference: looks up the last change of each block. */
function naiveHits(
  changes: readonly Change[],
  engine: UpstreamId,
  asked: readonly Digest[],
): number {
  const missing = asked.findIndex((block) => {
    const last = changes.findLast((change) =>
      change.engine === engine &&
      (change.type === "clear" || change.blocks.includes(block))
    );
    return last?.type !== "store";
  });
  return missing < 0 ? asked.length : missing;
}

test("the index and a replay of all changes count the same leading blocks", () => {
  fc.assert(
    fc.property(
      fc.array(change, { maxLength: 30 }),
      engine,
      blocks,
      (changes, asked, prefix) => {
        const index = PrefixIndex.create();
        for (const { type, engine, blocks } of changes) {
          if (type === "clear") index.clear(engine);
          else index[type](engine, blocks);
        }
        expect(index.hits(asked, prefix)).toBe(
          naiveHits(changes, asked, prefix),
        );
      },
    ),
    { seed: 6, numRuns: 500 },
  );
});

test("the least recently stored block is removed first", () => {
  const index = PrefixIndex.create();
  const engine = "e1" as UpstreamId;
  const many = Array.from({ length: 4_097 }, (_, i) => `${i}` as Digest);
  index.store(engine, many);
  expect(index.hits(engine, many.slice(0, 1))).toBe(0);
  expect(index.hits(engine, many.slice(1))).toBe(4_096);
});
