/** Returns Jain's index of some values: 1 where all are equal, 1/n where one has all. */
export function jainIndex(values: readonly number[]): number {
  const sum = values.reduce((a, b) => a + b, 0);
  const squares = values.reduce((a, b) => a + b * b, 0);
  return squares === 0 ? 1 : sum * sum / (values.length * squares);
}

/** What one team asked for and was given, in the same unit, and its share. */
export type TeamWork = Readonly<
  { offered: number; served: number; share: number }
>;

/** Returns the weighted max-min fair division of `total` among the teams' offers. */
export function fairDivision(
  teams: readonly TeamWork[],
  total: number,
): readonly number[] {
  const given = teams.map(() => 0);
  let left = total;
  let open = teams.map((_, i) => i);
  while (open.length > 0 && left > 1e-9) {
    const shares = open.reduce((sum, i) => sum + teams[i]!.share, 0);
    const level = left / shares;
    const full = open.filter((i) =>
      teams[i]!.offered - given[i]! <= level * teams[i]!.share
    );
    if (full.length === 0) {
      for (const i of open) given[i]! += level * teams[i]!.share;
      return given;
    }
    for (const i of full) {
      left -= teams[i]!.offered - given[i]!;
      given[i] = teams[i]!.offered;
    }
    open = open.filter((i) => !full.includes(i));
  }
  return given;
}

/** Returns Jain's index over what each team got of its fair part, at most all of it. */
export function teamFairness(teams: readonly TeamWork[]): number {
  const total = teams.reduce((sum, team) => sum + team.served, 0);
  const fair = fairDivision(teams, total);
  const satisfied = teams.flatMap((team, i) =>
    fair[i]! > 0 ? [Math.min(1, team.served / fair[i]!)] : []
  );
  return jainIndex(satisfied);
}
