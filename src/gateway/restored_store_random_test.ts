import { expect, test } from "vitest";
import { RestoreSimulation } from "../testing/restore_simulation.ts";

/** Seeds that once broke a guarantee, and others. */
const SEEDS = [1, 2, 3, 4, 6, 7, 8, 19, 23, 27, 32, 57, 60, 84, 96, 100];

test.each(SEEDS)(
  "restores beside other changes and faults break no guarantee, seed %i",
  (seed) => {
    const violations = RestoreSimulation.run({
      seed,
      daemons: 2 + seed % 6,
      upstreams: 8,
      steps: 60,
      mixed: seed % 4 === 0,
    });
    expect(violations.slice(0, 10)).toEqual([]);
  },
);
