import fc from "fast-check";
import { expect, test } from "vitest";
import { fairDivision, jainIndex, type TeamWork } from "./fairness.ts";

const STEPS = 20_000;

/** Gives out the total in small pieces, each to the open team with the least for its share. */
function naiveDivision(
  teams: readonly TeamWork[],
  total: number,
): readonly number[] {
  const given = teams.map(() => 0);
  const piece = total / STEPS;
  for (let i = 0; i < STEPS; i += 1) {
    let best = -1;
    for (const [index, team] of teams.entries()) {
      if (given[index]! >= team.offered) continue;
      const level = given[index]! / team.share;
      if (best < 0 || level < given[best]! / teams[best]!.share) best = index;
    }
    if (best >= 0) given[best]! += piece;
  }
  return given;
}

test("the division and one in small pieces agree", () => {
  const team = fc.record({
    offered: fc.integer({ min: 1, max: 100 }),
    served: fc.constant(0),
    share: fc.integer({ min: 1, max: 10 }),
  });
  fc.assert(
    fc.property(
      fc.array(team, { minLength: 1, maxLength: 5 }),
      fc.integer({ min: 1, max: 100 }),
      (teams, part) => {
        const offered = teams.reduce((sum, one) => sum + one.offered, 0);
        const total = offered * part / 100;
        const fair = fairDivision(teams, total);
        const naive = naiveDivision(teams, total);
        const slack = 3 * teams.length * total / STEPS + 1e-6;
        for (const [i, value] of fair.entries()) {
          expect(Math.abs(value - naive[i]!)).toBeLessThan(slack);
        }
      },
    ),
    { seed: 6, numRuns: 50 },
  );
});

test("Jain's index is 1 for equal values and 1/n for a single one", () => {
  expect([jainIndex([2, 2, 2]), jainIndex([4, 0, 0, 0])]).toEqual([1, 0.25]);
});
