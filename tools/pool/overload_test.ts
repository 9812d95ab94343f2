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
        "1: 81 | 0.91 0.91 0.86 | 0.99 1.00 1.00 | 1.00 1.00 1.00",
        "1.5: 92 | 0.83 0.68 0.53 | 0.83 0.95 0.91 | 0.88 1.00 0.83",
        "2: 104 | 0.69 0.66 0.49 | 0.71 0.89 0.89 | 0.70 1.00 0.63",
        "3: 95 | 0.45 0.47 0.19 | 0.45 0.70 0.60 | 0.44 0.75 0.67",
        "4: 99 | 0.37 0.45 0.13 | 0.37 0.61 0.58 | 0.41 0.68 0.21",
      ]
    `);
    expectKept(played);
  }, TIMEOUT_MS);

  test("kinds of three ranks, the short ones most urgent", () => {
    const played = playedAt(SHAPES.ranked);
    expect(tableOf(played)).toMatchInlineSnapshot(`
      [
        "1: 74 | 0.95 0.85 0.80 | 1.00 0.96 1.00 | 0.98 0.77 1.00",
        "1.5: 96 | 0.89 0.52 0.38 | 0.93 0.73 0.86 | 0.89 0.78 1.00",
        "2: 106 | 0.73 0.50 0.20 | 0.75 0.81 0.64 | 0.70 0.70 0.00",
        "3: 109 | 0.51 0.26 0.12 | 0.52 0.38 0.30 | 0.52 0.21 0.00",
        "4: 108 | 0.38 0.24 0.05 | 0.40 0.38 0.23 | 0.36 0.26 0.00",
      ]
    `);
    expectKept(played);
  }, TIMEOUT_MS);
});
