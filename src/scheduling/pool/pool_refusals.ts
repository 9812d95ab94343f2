import { type Problem, problem } from "../../core/problem.ts";
import type { EnginePace } from "./engine_pace.ts";
import { MAX_HELPERS, PLANNED_MEMORY_FRACTION } from "./plan_memory.ts";
import type { PlacementRequest } from "./pool_job.ts";
import type { Millis } from "../../core/time.ts";

/** Retry-After while no upstream is known. */
const RETRY_AFTER_MS: Millis = 800;

/** Whether a prompt exceeds the memory of all engines that may take part, even if they are empty. */
export function exceedsPoolMemory(
  ask: PlacementRequest,
  pace: EnginePace,
  engines: number,
): boolean {
  const maxEngines = Math.min(engines, MAX_HELPERS + 1);
  return ask.promptTokens + ask.answerTokens >
    maxEngines * pace.memoryTokens * PLANNED_MEMORY_FRACTION;
}

/** Refusal of a prompt that the pool can never hold. */
export function tooLargeProblem(): Problem {
  return problem("no_memory", "All engines together can't hold this prompt");
}

/** Refusal while no upstream of the service is known. */
export function noUpstreamProblem(): Problem {
  return problem("no_upstream", "No upstream of the service is known", {
    retryAfterMs: RETRY_AFTER_MS,
  });
}
