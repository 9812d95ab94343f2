import { expect, test } from "vitest";
import type { DomainId, UpstreamId } from "../../../core/id.ts";
import type { Timestamp } from "../../../core/time.ts";
import type { QueuedPrompt } from "../long_queue.ts";
import type { JobId } from "../pool_job.ts";
import { UpstreamLoad } from "../upstream_load.ts";
import { planQueue } from "./queue_plan.ts";

const NOW = 0 as Timestamp;
const CANDIDATES = Array.from({ length: 10 }, (_, i) => {
  const id = `e${i}` as UpstreamId;
  const load = UpstreamLoad.create(id);
  return { id, domain: "a" as DomainId, slots: 8, load };
});

function prompt(job: string, fields: Partial<QueuedPrompt> = {}): QueuedPrompt {
  return {
    job: job as JobId,
    prefillMs: 8_000,
    dueAt: 2_000 as Timestamp,
    timeoutAt: 12_000 as Timestamp,
    weight: 8_000,
    ...fields,
  };
}

function planned(
  prompts: readonly QueuedPrompt[],
  short?: readonly string[],
): readonly string[] {
  const shortEngines = short && new Set(short as UpstreamId[]);
  const state = { prompts, candidates: CANDIDATES, shortEngines, now: NOW };
  return planQueue(state).map(({ prompt, shed, closed }) => {
    if (shed) return `${prompt.job} refused`;
    const open = CANDIDATES.filter(({ id }) => closed?.has(id) !== true);
    const ids = open.map(({ id }) => id).join(" ");
    return closed === undefined ? prompt.job : `${prompt.job} on ${ids}`;
  });
}

test("late prompts wait while there is room, and get a few engines while it is short", () => {
  const prompts = ["a", "b", "c"].map((job) => prompt(job));
  expect(planned(prompts)).toEqual(["b", "c", "a"]);
  expect(planned(prompts, ["e0", "e1"])).toEqual(["b", "c", "a on e2 e3"]);
});

test("late prompts that a few engines can't serve before their time-out are refused at once", () => {
  const prompts = ["a", "b", "c", "d"].map((job) =>
    prompt(job, { prefillMs: 14_000 })
  );
  expect(planned(prompts, ["e0", "e1"])).toEqual([
    "d",
    "a on e2 e3",
    "b refused",
    "c refused",
  ]);
});

test("a prompt whose size is served less often is kept before others", () => {
  const giant = prompt("giant", { prefillMs: 14_000, preferred: true });
  expect(planned([prompt("a"), giant, prompt("b")], []))
    .toMatchInlineSnapshot(`
      [
        "giant",
        "a on e0 e1 e2",
        "b on e0 e1 e2",
      ]
    `);
});
