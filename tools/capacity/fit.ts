import { linearRegression, rSquared } from "simple-statistics";

/** One measured point: a size and what it cost. */
export type Point = Readonly<{ x: number; y: number }>;

/** A least-squares line with the standard error of its slope. */
export type Fit = Readonly<{
  slope: number;
  intercept: number;
  /** Standard error of the slope; 0 for fewer than three points. */
  slopeError: number;
  /** Share of the variance that the line explains. */
  r2: number;
  points: readonly Point[];
}>;

/** Fits a line through measured points. */
export function fitLine(points: readonly Point[]): Fit {
  const pairs = points.map(({ x, y }) => [x, y]);
  const { m: slope, b: intercept } = linearRegression(pairs);
  const line = (x: number) => slope * x + intercept;
  return {
    slope,
    intercept,
    slopeError: slopeError(points, line),
    r2: rSquared(pairs, line),
    points,
  };
}

/** Standard error of a regression's slope: sqrt(SSE / (n - 2) / Sxx). */
function slopeError(
  points: readonly Point[],
  line: (x: number) => number,
): number {
  if (points.length < 3) return 0;
  const meanX = sum(points.map(({ x }) => x)) / points.length;
  const residuals = sum(points.map(({ x, y }) => (y - line(x)) ** 2));
  const spread = sum(points.map(({ x }) => (x - meanX) ** 2));
  return Math.sqrt(residuals / (points.length - 2) / spread);
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}
