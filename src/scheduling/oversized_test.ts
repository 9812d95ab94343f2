import { expect, test } from "vitest";
import type {
  DaemonId,
  Digest,
  ModelId,
  RequestId,
  TeamId,
  VersionId,
} from "../core/id.ts";
import { addMs } from "../core/time.ts";
import { engineFixture, START } from "../testing/fixtures.ts";
import type { CellPlacementRequest } from "./cell_placement.ts";
import { CellScheduler } from "./cell_scheduler.ts";
import { DEFAULT_POLICY } from "./policy.ts";

const CAPACITY = 450_000;
const MAX_TOKENS = 1_000;
const HOLD = CAPACITY - DEFAULT_POLICY.shortMemoryTokens;

function schedulerOf(engines: number): CellScheduler {
  const scheduler = CellScheduler.create(DEFAULT_POLICY);
  const upstreams = Array.from({ length: engines }, (_, i) => {
    const fixture = engineFixture(`e${i}`);
    return engineFixture(`e${i}`, {
      load: {
        incarnation: fixture.incarnation,
        at: START,
        running: 0,
        waiting: 0,
        decoding: 0,
        prefill_tokens: 0,
        kv_capacity_tokens: CAPACITY,
        kv_free_tokens: CAPACITY,
        loaded: fixture.engine!.loaded,
        role: "mixed",
        leaving: false,
      },
    });
  });
  scheduler.tracker.applyUpstreams(upstreams);
  return scheduler;
}

function askFor(promptTokens: number): CellPlacementRequest {
  return {
    request: "r" as RequestId,
    round: 1,
    from: "d" as DaemonId,
    team: "makers" as TeamId,
    weights: { model: "sage" as ModelId, version: "2" as VersionId },
    promptTokens,
    maxTokens: MAX_TOKENS,
    urgency: 0,
    arrivedAt: START,
    deadlineAt: addMs(START, 3_600_000),
    digest: "x" as Digest,
    blocks: [],
    excluded: [],
    suspect: false,
  };
}

test.each([
  [4, 1_000_000, "queued"],
  [4, 4 * HOLD - MAX_TOKENS, "queued"],
  [4, 4 * HOLD - MAX_TOKENS + 1, "prompt_too_long"],
  [3, 3 * HOLD - MAX_TOKENS, "queued"],
  [3, 3 * HOLD - MAX_TOKENS + 1, "prompt_too_long"],
  [9, 4 * HOLD - MAX_TOKENS + 1, "prompt_too_long"],
])(
  "with %i engines, a prompt of %i tokens gets %s at once",
  (engines, promptTokens, expected) => {
    const answer = schedulerOf(engines).submit(askFor(promptTokens), START);
    const result = answer.type === "refused"
      ? answer.problem.code
      : answer.type;
    expect(result).toBe(expected);
  },
);
