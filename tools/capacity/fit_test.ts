import fc from "fast-check";
import { expect, test } from "vitest";
import { fitLine } from "./fit.ts";

test("points on a line give the line without error", () => {
  fc.assert(fc.property(
    fc.integer({ min: -1_000, max: 1_000 }),
    fc.integer({ min: -1_000, max: 1_000 }),
    (slope, intercept) => {
      const points = [1, 2, 5, 9].map((x) => ({ x, y: slope * x + intercept }));
      const fit = fitLine(points);
      expect(fit.slope).toBeCloseTo(slope, 6);
      expect(fit.intercept).toBeCloseTo(intercept, 6);
      expect(fit.slopeError).toBeCloseTo(0, 6);
    },
  ));
});

test("points beside the line show in the error of the slope", () => {
  const points = [{ x: 0, y: 0 }, { x: 1, y: 3 }, { x: 2, y: 0 }, {
    x: 3,
    y: 3,
  }];
  const { slope, intercept, slopeError, r2 } = fitLine(points);
  expect({ slope, intercept, slopeError, r2 }).toMatchInlineSnapshot(`
    {
      "intercept": 0.6000000000000001,
      "r2": 0.19999999999999996,
      "slope": 0.6,
      "slopeError": 0.848528137423857,
    }
  `);
});
