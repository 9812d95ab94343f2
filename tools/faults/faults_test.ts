import { expect, test } from "vitest";
import { explore } from "./explore.ts";
import { REGRESSIONS } from "./regressions.ts";
import { runSchedule } from "./run.ts";

const SEEDS = [20_261_204, 11];
const RUNS = 20;
const MAX_SHRINK_MS = 5_000;

test.each([
  ...SEEDS.map((seed) => ({ seed, blocks: false })),
  { seed: 12, blocks: true },
])(
  "schedules drawn from seed $seed break nothing, with blocks that crash engines: $blocks",
  async (drawn) => {
    const options = { ...drawn, runs: RUNS, maxShrinkMs: MAX_SHRINK_MS };
    const finding = await explore(options);
    const shown = finding && {
      ...finding,
      violation: finding.violation.trace.join("\n"),
    };
    expect(shown, JSON.stringify(finding?.schedule)).toBeUndefined();
  },
);

test.each(REGRESSIONS)("$name", async ({ schedule }) => {
  const violation = await runSchedule(schedule);
  expect(violation?.detail, violation?.trace.join("\n")).toBeUndefined();
});
