import fc from "fast-check";
import { runSchedule, type Violation } from "./run.ts";
import { blockSchedules, type Schedule, schedules } from "./schedule.ts";

/** The shortest schedule that was found to break an invariant. */
export type Finding = Readonly<
  { seed: number; runs: number; schedule: Schedule; violation: Violation }
>;

/** How long is searched. */
export type ExploreOptions = Readonly<{
  seed: number;
  runs: number;
  maxShrinkMs?: number;
  /** Whether prompts may share a leading block that crashes engines. */
  blocks?: boolean;
}>;

const SHRINK_MS = 60_000;

/** Draws schedules until one breaks an invariant, and shortens that one. */
export async function explore(
  options: ExploreOptions,
): Promise<Finding | undefined> {
  const { seed, runs, maxShrinkMs = SHRINK_MS } = options;
  let found: Readonly<{ schedule: Schedule; violation: Violation }> | undefined;
  let shrinkUntil = Infinity;
  let tried = 0;
  const drawn = options.blocks ? blockSchedules : schedules;
  const property = fc.asyncProperty(drawn, async (schedule) => {
    if (Date.now() > shrinkUntil) return true;
    if (found === undefined) tried += 1;
    const violation = await runSchedule(schedule);
    if (violation === undefined) return true;
    // Another fault met on the way to a shorter schedule would hide the first one.
    if (found && found.violation.invariant !== violation.invariant) return true;
    if (found === undefined) shrinkUntil = Date.now() + maxShrinkMs;
    found = { schedule, violation };
    return false;
  });
  await fc.check(property, { seed, numRuns: runs });
  return found && { seed, runs: tried, ...found };
}
