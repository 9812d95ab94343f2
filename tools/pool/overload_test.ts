import { describe, expect, test } from "vitest";
import {
  type Goodput,
  goodputAt,
  rowOf,
  type Shape,
  SHAPES,
} from "./overload.ts";

const MULTIPLES = [1, 1.5, 2, 3, 4];
/** Fraction of the goodput at capacity that more load must leave. */
const KEPT = 0.95;
/** A kind that is served less than this fraction as often as the short one is starved. */
const LEAST_SERVED = 0.25;
const TIMEOUT_MS = 60_000;

function playedAt(shape: Shape): readonly Goodput[] {
  return MULTIPLES.map((multiple) =>
    goodputAt(shape, multiple, { seeds: [1, 2] })
  );
}

function tableOf(played: readonly Goodput[]): readonly string[] {
  return played.map((goodput, i) => rowOf(MULTIPLES[i]!, goodput));
}

function expectKept(played: readonly Goodput[]): void {
  const [full, ...crests] = played;
  for (const { worthPerS, served } of crests) {
    expect(worthPerS).toBeGreaterThan(KEPT * full!.worthPerS);
    const [short, ...others] = Object.values(served);
    for (const one of others) {
      expect(one).toBeGreaterThan(LEAST_SERVED * short!);
    }
  }
}

describe("what is served in time doesn't fall as demand grows beyond the engines", () => {
  test("kinds of one rank, engines with little memory", () => {
    const played = playedAt(SHAPES.one_rank);
    expect(tableOf(played)).toMatchInlineSnapshot(`
      [
        "1: 82 | 0.91 0.91 0.86 | 1.00 1.00 0.98 | 1.00 1.00 1.00",
        "1.5: 91 | 0.84 0.66 0.49 | 0.85 0.85 0.77 | 0.82 1.00 0.33",
        "2: 102 | 0.68 0.66 0.50 | 0.71 0.82 0.79 | 0.69 0.77 0.63",
        "3: 91 | 0.43 0.37 0.22 | 0.47 0.65 0.56 | 0.42 0.80 0.67",
        "4: 98 | 0.36 0.43 0.14 | 0.38 0.61 0.38 | 0.40 0.68 0.21",
      ]
    `);
    expectKept(played);
  }, TIMEOUT_MS);

  test("kinds of three ranks, the short ones most urgent", () => {
    const played = playedAt(SHAPES.ranked);
    expect(tableOf(played)).toMatchInlineSnapshot(`
      [
        "1: 74 | 0.95 0.85 0.80 | 1.00 0.96 1.00 | 0.98 0.77 1.00",
        "1.5: 94 | 0.88 0.46 0.38 | 0.94 0.67 0.86 | 0.90 0.78 1.00",
        "2: 102 | 0.72 0.48 0.20 | 0.76 0.70 0.56 | 0.67 0.52 0.00",
        "3: 104 | 0.50 0.23 0.08 | 0.54 0.33 0.30 | 0.49 0.15 0.00",
        "4: 107 | 0.39 0.18 0.07 | 0.41 0.29 0.23 | 0.38 0.21 0.00",
      ]
    `);
    expectKept(played);
  }, TIMEOUT_MS);
});
