import { expect, test } from "vitest";
import { compareHeld } from "./held.ts";

const SEEDS = 4;

test("knowing what engines hold changes nothing where prompts have nothing in common", () => {
  const { with: held, without } = compareHeld({ share: 0, load: 1 }, 1);
  expect(held).toEqual(without);
});

test("knowing what engines hold brings first events sooner, up to capacity", () => {
  for (const load of [0.5, 1]) {
    const { with: held, without } = compareHeld({ share: 0.6, load }, SEEDS);
    expect(held.p50).toBeLessThanOrEqual(without.p50);
    expect(held.p99).toBeLessThanOrEqual(without.p99);
    expect(held.inTime).toBeGreaterThanOrEqual(without.inTime);
  }
});
