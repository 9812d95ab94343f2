import { addMs, type Millis, type Timestamp } from "../../core/time.ts";
import type { JobId } from "../../scheduling/pool/pool_job.ts";

/** Longest time for which a request without a known outcome holds back others. */
const MAX_PROBE_MS: Millis = 10_000;
/** Longest wait that others are told, as a probe mostly ends before its time is over. */
const MAX_RETRY_MS: Millis = 1_000;
/** Probes whose time is over are removed when there are more than this. */
const MAX_PROBES = 256;

type Probe = Readonly<{ job: JobId; until: Timestamp }>;

/** Requests that run alone with a suspected part, so that a part crashes one upstream at a time. */
export class ProbeTable {
  readonly #probes = new Map<string, Probe>();

  static create(): ProbeTable {
    return new ProbeTable();
  }

  /** Time for which a request other than `job` may hold the key; 0 where there is none. */
  heldMs(key: string, job: JobId, now: Timestamp): Millis {
    const probe = this.#probes.get(key);
    if (probe === undefined || probe.job === job) return 0;
    return Math.min(MAX_RETRY_MS, Math.max(0, probe.until - now));
  }

  /** Starts a probe of each key. */
  start(
    keys: readonly string[],
    job: JobId,
    options: Readonly<{ now: Timestamp; leftMs: Millis }>,
  ): void {
    const { now, leftMs } = options;
    const until = addMs(now, Math.min(leftMs, MAX_PROBE_MS));
    for (const key of keys) this.#probes.set(key, { job, until });
    if (this.#probes.size <= MAX_PROBES) return;
    for (const [other, probe] of this.#probes) {
      if (probe.until <= now) this.#probes.delete(other);
    }
  }

  /** Ends the probes of a job. */
  end(job: JobId): void {
    for (const [key, probe] of this.#probes) {
      if (probe.job === job) this.#probes.delete(key);
    }
  }
}
