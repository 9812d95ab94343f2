/** Engines that a team's prompts would keep busy, and its weight against other teams. */
export type TeamDemand = Readonly<{ engines: number; weight: number }>;

/**
 * Least part of its proportional share that a team gets. The pages count a team as starved that is served less than a
 * quarter as often as all; this is twice that.
 */
const MIN_PROPORTION = 0.5;
/** Halvings of the interval that the level is searched in; the error is far below one prompt. */
const SEARCH_STEPS = 40;

/**
 * Divides the time of engines among teams: each gets what it wants, up to a level that is the same for all, times its weight.
 * Load pattern: a few teams with most of the traffic beside many small ones, when there is more work than room. Divided
 * in proportion to demand, the small teams would be refused as often as the large ones that fill the engines; divided
 * by the level alone, a team with most of the traffic would hardly be served.
 */
export function fairShares(
  teams: readonly TeamDemand[],
  room: number,
): readonly number[] {
  const wanted = sum(teams.map((team) => team.engines));
  if (wanted <= room) return teams.map((team) => team.engines);
  const proportion = MIN_PROPORTION * room / wanted;
  const sharesAt = (level: number) =>
    teams.map((team) =>
      Math.max(
        team.engines * proportion,
        Math.min(team.engines, level * team.weight),
      )
    );
  const minWeight = Math.min(...teams.map((team) => team.weight));
  let low = 0;
  let high = wanted / minWeight;
  for (let i = 0; i < SEARCH_STEPS; i += 1) {
    const middle = (low + high) / 2;
    if (sum(sharesAt(middle)) > room) high = middle;
    else low = middle;
  }
  return sharesAt(low);
}

function sum(values: readonly number[]): number {
  return values.reduce((a, b) => a + b, 0);
}
