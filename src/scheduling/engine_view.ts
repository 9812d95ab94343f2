import type { Incarnation, UpstreamId } from "../core/id.ts";
import type { Weights } from "../core/request.ts";
import type { Millis, Timestamp } from "../core/time.ts";
import type { Loaded, LoadReport } from "../wire/engine.ts";
import { currentPart, type Job, type JobKey, lastPart, partOn } from "./job.ts";

/** What a report may lag behind, so that work sent within it is not missed in the report. */
const REPORT_MARGIN_MS: Millis = 50;

const MAX_ENDED_WORK = 256;
/** Tokens that short prompts which have ended since the report may account for. */
const MIN_REMAINING_TOKENS = 6_000;

type EndedWork = Readonly<
  { at: Timestamp; prefillTokens: number; memoryTokens: number }
>;

/** What the scheduling daemon knows of one engine: its reports, and all that it was given. */
export class EngineView {
  readonly id: UpstreamId;
  incarnation: Incarnation;
  live = true;
  /** Whether it has stopped answering while others answer. */
  unresponsive = false;
  loaded: readonly Loaded[] = [];
  report: LoadReport | undefined;
  readonly jobs = new Map<JobKey, Job>();
  /** Work that ended after the newest report was made; it still shows there. */
  #endedWork: EndedWork[] = [];
  /** When a short prompt's prefill last ended here. */
  lastShortPrefillEndAt = 0 as Timestamp;
  /** Prefill tokens and memory that others sent, as far as the report shows. */
  externalPrefillTokens = 0;
  externalMemoryTokens = 0;

  private constructor(id: UpstreamId, incarnation: Incarnation) {
    this.id = id;
    this.incarnation = incarnation;
  }

  static create(id: UpstreamId, incarnation: Incarnation): EngineView {
    return new EngineView(id, incarnation);
  }

  /** Whether these weights are loaded. */
  serves(weights: Weights): boolean {
    const { model, version, adapter } = weights;
    return this.loaded.some((weightSet) =>
      weightSet.model === model && weightSet.version === version &&
      (adapter === undefined || weightSet.adapters.includes(adapter))
    );
  }

  /** Takes in a load report; false if it is known. Corrects what is believed where it says otherwise. */
  applyReport(report: LoadReport): boolean {
    if (this.report === report) return false;
    this.report = report;
    const cutoff = report.at - REPORT_MARGIN_MS;
    if (report.running + report.waiting === 0) this.#removeFinished(cutoff);
    this.#endedWork = this.#endedWork.filter((one) => one.at > report.at);
    let prefill = 0;
    let memory = 0;
    for (const one of this.#endedWork) {
      prefill += one.prefillTokens;
      memory += one.memoryTokens;
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

  /** Tokens that the long prompt here had still to prefill, by the newest report. */
  reportedRemainingTokens(): number {
    if (this.report === undefined) return 0;
    let left = this.report.prefill_tokens;
    for (const job of this.jobs.values()) {
      const sent = !job.long && job.placedAt <= this.report.at;
      if (sent) left -= job.ask.promptTokens - job.cachedTokens;
    }
    return left < MIN_REMAINING_TOKENS ? 0 : left;
  }

  /** Takes a job out; a report from before may show it for some time. */
  remove(job: Job, now: Timestamp): void {
    if (!this.jobs.delete(job.ask.request)) return;
    const memoryTokens = this.#memoryTokensOf(job);
    const prefillTokens = job.ask.promptTokens - job.cachedTokens;
    this.#endedWork.push({ at: now, prefillTokens, memoryTokens });
    if (this.#endedWork.length > MAX_ENDED_WORK) this.#endedWork.shift();
  }

  /** Tokens of memory that are free after all that was given to the engine; no limit is known before a report. */
  freeTokens(): number {
    if (this.report === undefined) return Infinity;
    let free = this.report.kv_capacity_tokens - this.externalMemoryTokens;
    for (const job of this.jobs.values()) free -= this.#memoryTokensOf(job);
    return free;
  }

  /** The long prompt whose prefill runs here now, as predicted. */
  longPrefillJob(now: Timestamp): Job | undefined {
    for (const job of this.jobs.values()) {
      if (!job.long || job.firstTokenAt !== undefined) continue;
      if (currentPart(job, now).engine === this.id) return job;
    }
    return undefined;
  }

  /** Whether answers are decoded here. */
  isDecoding(): boolean {
    for (const job of this.jobs.values()) {
      const decoding = job.firstTokenAt !== undefined || !job.long;
      if (decoding && lastPart(job).engine === this.id) return true;
    }
    return false;
  }

  /** Whether a long prompt holds or will need this engine between two times. */
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

  /** Predicted time until the short prompts here that go before this priority have been prefilled. */
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

  /** Streams that run or wait here; a part that only holds memory is none. */
  streamCount(): number {
    let count = 0;
    for (const job of this.jobs.values()) {
      const onlyHoldsMemory = job.firstTokenAt !== undefined &&
        lastPart(job).engine !== this.id;
      if (!onlyHoldsMemory) count += 1;
    }
    return count;
  }

  /** Whether content that is suspected of crashing engines runs here. */
  hasSuspect(): boolean {
    for (const job of this.jobs.values()) if (job.ask.suspect) return true;
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
