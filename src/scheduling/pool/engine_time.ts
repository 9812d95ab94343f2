import type { Millis } from "../../core/time.ts";
import { type EnginePace, prefillMs } from "./engine_pace.ts";
import type { PlacementRequest, PoolJob } from "./pool_job.ts";

/** Engine time in ms that a prompt takes: its prefill, and its part of the decode steps of a full batch. */
export function engineMsOf(
  ask: Pick<PlacementRequest, "promptTokens" | "answerTokens">,
  pace: EnginePace,
): Millis {
  const { promptTokens, answerTokens } = ask;
  const stepPartMs = pace.stepMs / pace.slots + pace.streamMs +
    promptTokens / 1_000 * pace.contextMs;
  return prefillMs(pace, promptTokens) + answerTokens * stepPartMs;
}

/** Engine time in ms of a placed job; jobs of earlier builds name only their prefill. */
export function engineMsOfJob(job: PoolJob): Millis {
  return job.engineMs ?? job.partMs * (1 + job.helpers.length);
}
