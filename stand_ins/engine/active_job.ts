import type { Timestamp } from "../../src/core/time.ts";
import type { EngineModelConfig } from "./model_config.ts";
import type { EngineJob } from "./job.ts";
import type { BlockKey } from "./prefix_cache.ts";

/** A job inside the engine. */
export type ActiveJob = {
  readonly job: EngineJob;
  /** Order of arrival. */
  readonly seq: number;
  readonly keys: readonly BlockKey[];
  /** Memory that it takes: its prompt and the longest answer. */
  readonly memoryTokens: number;
  /** One past the last context position to prefill. */
  readonly prefillEnd: number;
  state: "waiting" | "prefilling" | "decoding" | "ended";
  /** Next context position to prefill. */
  position: number;
  /** Prefill tokens in the step that is running. */
  chunk: number;
  /** Leading cache blocks in use. */
  blocks: number;
  cachedTokens: number;
  /** Index of the next answer token. */
  index: number;
  /** Whether earlier segments lie on other engines. */
  remote: boolean;
};

/** Takes a job in; it waits. */
export function createActiveJob(
  job: EngineJob,
  seq: number,
  cfg: EngineModelConfig,
): ActiveJob {
  const { segment, answeredTokens = 0 } = job;
  const decodes = segment?.last ?? true;
  const promptEnd = segment?.to ?? job.promptTokens;
  const from = segment?.from ?? 0;
  return {
    job,
    seq,
    keys: from === 0 ? blockKeys(job, promptEnd, cfg) : [],
    memoryTokens: promptEnd - from + (decodes ? job.maxTokens : 0),
    prefillEnd: promptEnd + (decodes ? answeredTokens : 0),
    state: "waiting",
    position: from,
    chunk: 0,
    blocks: 0,
    cachedTokens: 0,
    index: answeredTokens,
    remote: false,
  };
}

/** Orders by priority, then by arrival. */
export function compareJobs(a: ActiveJob, b: ActiveJob): number {
  return a.job.priority - b.job.priority || a.seq - b.seq;
}

/** Orders by deadline. */
export function compareDeadlines(a: ActiveJob, b: ActiveJob): number {
  return a.job.deadlineAt - b.job.deadlineAt || a.seq - b.seq;
}

/** Tokens that are left to prefill. */
export function prefillLeft(active: ActiveJob): number {
  return Math.max(0, active.prefillEnd - active.position);
}

/** Whether its deadline has come. */
export function isLate(active: ActiveJob, now: Timestamp): boolean {
  return active.job.deadlineAt <= now;
}

/** Keys of the whole blocks before `end`. */
function blockKeys(
  job: EngineJob,
  end: number,
  cfg: EngineModelConfig,
): BlockKey[] {
  const { model, version, adapter = "" } = job.weights;
  const count = Math.floor(end / cfg.blockTokens);
  return job.blocks.slice(0, count).map((digest) =>
    `${model}/${version}/${adapter} ${digest}`
  );
}
