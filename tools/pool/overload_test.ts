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
        "1: 81 | 0.91 0.91 0.86 | 0.99 1.00 0.98 | 1.00 1.00 1.00",
        "1.5: 89 | 0.82 0.66 0.46 | 0.82 0.89 0.82 | 0.84 1.00 0.67",
        "2: 104 | 0.69 0.67 0.47 | 0.71 0.88 0.67 | 0.72 1.00 0.50",
        "3: 99 | 0.43 0.43 0.26 | 0.44 0.69 0.47 | 0.46 0.80 0.42",
        "4: 97 | 0.36 0.45 0.13 | 0.36 0.61 0.31 | 0.38 0.56 0.21",
      ]
    `);
    expectKept(played);
  }, TIMEOUT_MS);

  test("kinds of three ranks, the short ones most urgent", () => {
    const played = playedAt(SHAPES.ranked);
    expect(tableOf(played)).toMatchInlineSnapshot(`
      [
        "1: 77 | 0.97 0.85 0.93 | 1.00 0.93 0.93 | 1.00 0.62 0.50",
        "1.5: 97 | 0.89 0.53 0.43 | 0.92 0.62 0.67 | 0.89 0.50 0.67",
        "2: 105 | 0.73 0.53 0.28 | 0.74 0.63 0.36 | 0.70 0.43 0.00",
        "3: 111 | 0.51 0.29 0.12 | 0.53 0.41 0.26 | 0.53 0.12 0.00",
        "4: 109 | 0.39 0.24 0.05 | 0.41 0.36 0.28 | 0.36 0.23 0.00",
      ]
    `);
    expectKept(played);
  }, TIMEOUT_MS);
});
