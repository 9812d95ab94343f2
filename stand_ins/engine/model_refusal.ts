import type { Weights } from "../../src/core/request.ts";
import type { EngineRefusal, Loaded } from "../../src/wire/engine.ts";
import type { EngineJob } from "./job.ts";

/** Builds a refusal. */
export function refuse(
  code: EngineRefusal["code"],
  detail: string,
): EngineRefusal {
  return { code, detail };
}

/** Refuses a job that is wrong in itself. */
export function checkJob(job: EngineJob): EngineRefusal | undefined {
  const { segment } = job;
  if (job.promptTokens < 1 || job.answerTokens > job.maxTokens) {
    return refuse("bad_request", "Prompt is empty or its answer too long");
  }
  return segment && segment.from >= segment.to
    ? refuse("bad_request", "Segment is empty")
    : undefined;
}

/** Whether these weights are loaded. */
export function isLoaded(loaded: readonly Loaded[], weights: Weights): boolean {
  const { model, version, adapter } = weights;
  return loaded.some((item) =>
    item.model === model && item.version === version &&
    (adapter === undefined || item.adapters.includes(adapter))
  );
}
