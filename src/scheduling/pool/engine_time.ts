import type { Millis } from "../../core/time.ts";
import type { PromptClass } from "./admission/room_shares.ts";
import type { PoolJob } from "./pool_job.ts";

/** Longer prefills are split over several engines; this plus one pass is the pause that sensitive streams accept. */
const MAX_SHORT_PREFILL_MS: Millis = 190;

/** The class of a prompt with this prefill time. */
export function classOf(prefillMs: Millis): PromptClass {
  return prefillMs <= MAX_SHORT_PREFILL_MS ? "short" : "long";
}

/** Prefill time of a placed job on all its engines. */
export function prefillMsOfJob(job: PoolJob): Millis {
  return job.partMs * (1 + job.helpers.length);
}

/** Engine time in ms of a placed job; jobs of earlier builds name only their prefill. */
export function engineMsOfJob(job: PoolJob): Millis {
  return job.engineMs ?? prefillMsOfJob(job);
}
