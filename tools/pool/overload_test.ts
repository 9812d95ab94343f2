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
        "1: 77 | 0.86 0.91 0.84 | 1.00 1.00 1.00 | 1.00 1.00 1.00",
        "1.5: 92 | 0.85 0.67 0.49 | 0.89 0.86 0.88 | 0.90 1.00 0.83",
        "2: 101 | 0.71 0.59 0.42 | 0.74 0.86 0.82 | 0.76 0.92 0.63",
        "3: 94 | 0.46 0.47 0.17 | 0.48 0.61 0.53 | 0.46 0.55 0.42",
        "4: 97 | 0.38 0.40 0.09 | 0.40 0.54 0.43 | 0.45 0.56 0.21",
      ]
    `);
    expectKept(played);
  }, TIMEOUT_MS);

  test("kinds of three ranks, the short ones most urgent", () => {
    const played = playedAt(SHAPES.ranked);
    expect(tableOf(played)).toMatchInlineSnapshot(`
      [
        "1: 73 | 0.91 0.90 0.93 | 1.00 0.98 1.00 | 0.98 0.92 1.00",
        "1.5: 92 | 0.88 0.43 0.24 | 0.97 0.72 0.57 | 0.89 0.56 0.67",
        "2: 103 | 0.73 0.41 0.24 | 0.81 0.62 0.36 | 0.74 0.39 0.00",
        "3: 107 | 0.51 0.22 0.12 | 0.55 0.37 0.24 | 0.50 0.15 0.00",
        "4: 108 | 0.39 0.20 0.12 | 0.42 0.29 0.30 | 0.38 0.23 0.00",
      ]
    `);
    expectKept(played);
  }, TIMEOUT_MS);
});
