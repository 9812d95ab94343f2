import type { Incarnation, UpstreamId } from "../core/id.ts";
import type { Weights } from "../core/request.ts";
import type { Millis, Timestamp } from "../core/time.ts";
import type { Loaded, LoadReport } from "../wire/engine.ts";
import { currentPart, type Job, type JobKey, lastPart, partOn } from "./job.ts";

/** Lag of load reports; work sent within this time before a report may be missing from it. */
const REPORT_MARGIN_MS: Millis = 50;

/** Ended jobs kept to explain load in the next report; the oldest is removed first. */
const MAX_ENDED_WORK = 256;
/** Fewer reported tokens count as none; they may belong to short prompts that ended since the report. */
const MIN_REMAINING_TOKENS = 6_000;

type EndedWork = Readonly<
  { at: Timestamp; prefillTokens: number; memoryTokens: number }
>;

/** State of one engine as the scheduling daemon sees it: its newest load report, and the jobs placed there. */
export class EngineView {
  readonly id: UpstreamId;
  incarnation: Incarnation;
  live = true;
  /** Whether the engine has stopped responding while others respond. */
  unresponsive = false;
  loaded: readonly Loaded[] = [];
  report: LoadReport | undefined;
  readonly jobs = new Map<JobKey, Job>();
  /** Work that ended after the newest report, which still includes it. */
  #endedWork: EndedWork[] = [];
  /** When the prefill of a short prompt last ended on this engine. */
  lastShortPrefillEndAt = 0 as Timestamp;
  /** Reported prefill tokens and memory that no job of this scheduler accounts for. */
  externalPrefillTokens = 0;
  externalMemoryTokens = 0;

  private constructor(id: UpstreamId, incarnation: Incarnation) {
    this.id = id;
    this.incarnation = incarnation;
  }

  static create(id: UpstreamId, incarnation: Incarnation): EngineView {
    return new EngineView(id, incarnation);
  }

  /** Whether the engine has loaded these weights. */
  serves(weights: Weights): boolean {
    const { model, version, adapter } = weights;
    return this.loaded.some((weightSet) =>
      weightSet.model === model && weightSet.version === version &&
      (adapter === undefined || weightSet.adapters.includes(adapter))
    );
  }

  /** Applies a load report and recomputes the external load; false if this report was applied before. */
  applyReport(report: LoadReport): boolean {
    if (this.report === report) return false;
    this.report = report;
    const cutoff = report.at - REPORT_MARGIN_MS;
    if (report.running + report.waiting === 0) this.#removeFinished(cutoff);
    this.#endedWork = this.#endedWork.filter((work) => work.at > report.at);
    let prefill = 0;
    let memory = 0;
    for (const work of this.#endedWork) {
      prefill += work.prefillTokens;
      memory += work.memoryTokens;
    }
    for (const job of this.jobs.values()) {
      memory += this.#memoryTokensOf(job);
      const part = partOn(job, this.id);
      if (part !== undefined && part.startsAt <= report.at) {
        prefill += part.to - Math.max(part.from, job.cachedTokens);
      }
    }
    this.externalPrefillTokens = Math.max(0, report.prefill_tokens - prefill);
    const used = report.kv_capacity_tokens - report.kv_free_tokens;
    this.externalMemoryTokens = Math.max(0, used - memory);
    return true;
  }

  /** Tokens left to prefill of the long prompt on this engine, by the newest report. */
  reportedRemainingTokens(): number {
    if (this.report === undefined) return 0;
    let left = this.report.prefill_tokens;
    for (const job of this.jobs.values()) {
      const sent = !job.long && job.placedAt <= this.report.at;
      if (sent) left -= job.ask.promptTokens - job.cachedTokens;
    }
    return left < MIN_REMAINING_TOKENS ? 0 : left;
  }

  /** Removes a job; remembers its load, because a report from before its end still includes it. */
  remove(job: Job, now: Timestamp): void {
    if (!this.jobs.delete(job.ask.request)) return;
    const memoryTokens = this.#memoryTokensOf(job);
    const prefillTokens = job.ask.promptTokens - job.cachedTokens;
    this.#endedWork.push({ at: now, prefillTokens, memoryTokens });
    if (this.#endedWork.length > MAX_ENDED_WORK) this.#endedWork.shift();
  }

  /** Tokens of KV memory that all known load leaves free; infinite before the first report. */
  freeTokens(): number {
    if (this.report === undefined) return Infinity;
    let free = this.report.kv_capacity_tokens - this.externalMemoryTokens;
    for (const job of this.jobs.values()) free -= this.#memoryTokensOf(job);
    return free;
  }

  /** The long prompt whose prefill is predicted to run on this engine now. */
  longPrefillJob(now: Timestamp): Job | undefined {
    for (const job of this.jobs.values()) {
      if (!job.long || job.firstTokenAt !== undefined) continue;
      if (currentPart(job, now).engine === this.id) return job;
    }
    return undefined;
  }

  /** Whether the engine decodes the answer of any job. */
  isDecoding(): boolean {
    for (const job of this.jobs.values()) {
      const decoding = job.firstTokenAt !== undefined || !job.long;
      if (decoding && lastPart(job).engine === this.id) return true;
    }
    return false;
  }

  /** Whether the prefill of a long prompt is predicted on this engine between two times. */
  hasLongPrefillBetween(from: Timestamp, to: Timestamp): boolean {
    for (const job of this.jobs.values()) {
      if (!job.long || job.firstTokenAt !== undefined) continue;
      for (const part of job.parts) {
        if (part.engine !== this.id) continue;
        if (part.startsAt < to && part.startsAt + part.costMs > from) {
          return true;
        }
      }
    }
    return false;
  }

  /** Predicted time until the short prompts on this engine that run no later than `priority` are prefilled. */
  shortBacklogMs(now: Timestamp, priority: number): Millis {
    let sum = 0;
    let startedAt = this.lastShortPrefillEndAt;
    for (const job of this.jobs.values()) {
      if (job.long || job.firstTokenAt !== undefined) continue;
      if (job.priority > priority) continue;
      if (sum === 0) startedAt = Math.max(startedAt, job.placedAt) as Timestamp;
      sum += partOn(job, this.id)?.costMs ?? 0;
    }
    if (sum === 0) return 0;
    return Math.max(0, sum - (now - startedAt));
  }

  /** Number of streams that run or wait on this engine; a part that only holds memory does not count. */
  streamCount(): number {
    let count = 0;
    for (const job of this.jobs.values()) {
      const onlyHoldsMemory = job.firstTokenAt !== undefined &&
        lastPart(job).engine !== this.id;
      if (!onlyHoldsMemory) count += 1;
    }
    return count;
  }

  /** Whether the engine runs content that is suspected of crashing engines. */
  hasSuspect(): boolean {
    for (const job of this.jobs.values()) {
      if (job.ask.suspect || job.becameSuspect === true) return true;
    }
    return false;
  }

  #memoryTokensOf(job: Job): number {
    let sum = 0;
    for (const part of job.parts) {
      if (part.engine === this.id) sum += part.memoryTokens;
    }
    return sum;
  }

  #removeFinished(cutoff: number): void {
    for (const [key, job] of this.jobs) {
      const hasEnded = job.parts.length === 1 && job.placedAt < cutoff;
      if (hasEnded) this.jobs.delete(key);
    }
  }
}
