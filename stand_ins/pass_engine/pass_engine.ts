import {
  type EnginePace,
  prefillMs,
} from "../../src/scheduling/pool/engine_pace.ts";
import type { LeadingPart } from "../../src/scheduling/held/leading_parts.ts";
import { HeldBeginnings } from "./held_beginnings.ts";

/** A prompt's part that one engine reads. */
export type Part = {
  readonly job: SimJob;
  tokensLeft: number;
  /** Prefill time of one token of the part. */
  readonly tokenMs: number;
};

/** A prompt on its way through engines. */
export type SimJob = {
  readonly id: string;
  readonly promptTokens: number;
  /** Parts of the prompt from its start, which the engine may hold. */
  readonly beginning?: readonly LeadingPart[];
  /** Parts that are not read yet. */
  partsLeft: number;
  tokensLeft: number;
  /** KV cache that the prompt and its answer take up on the engine that answers; not limited if absent. */
  readonly memoryTokens?: number;
  /** Starts the engine that answers once all parts are read; it may have run out of work by then. */
  onRead?: () => void;
  readonly onEvent: (at: number) => void;
  readonly onEnd: (at: number) => void;
};

/** What an engine needs of the simulated time. */
export type EngineTime = Readonly<{
  now: () => number;
  after: (ms: number, run: () => void) => void;
}>;

/**
 * An engine that works in passes. A pass with writing streams runs `stride` steps, one without runs one; each step
 * prefills a chunk at most. Whatever arrives waits for the next pass. At the end of a pass each stream that writes
 * gets one event, those included that were read up in it.
 */
export class PassEngine {
  readonly #pace: EnginePace;
  readonly #time: EngineTime;
  readonly #beginnings: HeldBeginnings;
  readonly #helped: Part[] = [];
  readonly #own: Part[] = [];
  readonly #queue: SimJob[] = [];
  readonly #batch = new Set<SimJob>();
  readonly #writers = new Set<SimJob>();
  /** KV cache held here for prompts that other engines answer. */
  readonly #held = new Map<SimJob, number>();
  #running = false;
  /** Times that everything takes of what the pace states. */
  slowness = 1;

  private constructor(pace: EnginePace, time: EngineTime, heldMs: number) {
    this.#pace = pace;
    this.#time = time;
    this.#beginnings = HeldBeginnings.create(heldMs);
  }

  /** Creates an engine that holds beginnings of prompts for `heldMs` after their last use; 0 by default. */
  static create(
    pace: EnginePace,
    time: EngineTime,
    options: Readonly<{ heldMs?: number }> = {},
  ): PassEngine {
    return new PassEngine(pace, time, options.heldMs ?? 0);
  }

  /** Takes a prompt that this engine answers, with the number of engines that read it. */
  answer(job: SimJob, engines: number): void {
    job.partsLeft = engines;
    job.onRead = () => this.#start();
    this.#queue.push(job);
    this.#parts.set(job, this.#partOf(job, engines));
    this.#start();
  }

  /** Takes a part of a prompt that another engine answers. */
  help(job: SimJob, engines: number, heldTokens = 0): void {
    this.#helped.push(this.#partOf(job, engines));
    if (heldTokens > 0) this.#held.set(job, heldTokens);
    this.#start();
  }

  /** Drops whatever this engine has of a prompt. */
  drop(job: SimJob): void {
    for (const list of [this.#helped, this.#own]) {
      const i = list.findIndex((part) => part.job === job);
      if (i >= 0) list.splice(i, 1);
    }
    const queued = this.#queue.indexOf(job);
    if (queued >= 0) this.#queue.splice(queued, 1);
    this.#parts.delete(job);
    this.#writers.delete(job);
    this.#batch.delete(job);
    this.#held.delete(job);
    this.#start();
  }

  readonly #parts = new Map<SimJob, Part>();

  #partOf(job: SimJob, engines: number): Part {
    const ms = prefillMs(this.#pace, job.promptTokens) / engines;
    const tokens = job.promptTokens / engines;
    return { job, tokensLeft: tokens, tokenMs: ms / tokens };
  }

  #start(): void {
    if (this.#running) return;
    this.#running = true;
    this.#time.after(0, () => this.#pass());
  }

  #pass(): void {
    this.#admit();
    const reads = [...this.#helped, ...this.#own];
    const writers = [...this.#writers].filter((job) => job.partsLeft === 0);
    if (reads.length === 0 && writers.length === 0) {
      this.#running = false;
      return;
    }
    const steps = writers.length > 0 ? this.#pace.stride : 1;
    const writeMs = this.#stepMs(writers);
    const ms = this.slowness * (steps * writeMs + this.#read(reads, steps));
    this.#time.after(ms, () => {
      for (const job of writers) {
        if (this.#writers.has(job)) this.#write(job, steps);
      }
      this.#finishReads();
      for (const job of this.#writers) {
        if (job.partsLeft === 0 && !writers.includes(job)) this.#write(job, 1);
      }
      this.#pass();
    });
  }

  #admit(): void {
    while (this.#queue.length > 0 && this.#batch.size < this.#pace.slots) {
      if (!this.#hasMemory(this.#queue[0]!)) break;
      const job = this.#queue.shift()!;
      this.#batch.add(job);
      this.#writers.add(job);
      this.#own.push(this.#withoutHeld(this.#parts.get(job)!));
      this.#parts.delete(job);
    }
  }

  #hasMemory(job: SimJob): boolean {
    if (job.memoryTokens === undefined || this.#batch.size === 0) return true;
    let used = job.memoryTokens;
    for (const held of this.#held.values()) used += held;
    for (const other of this.#batch) used += other.memoryTokens ?? 0;
    return used <= this.#pace.memoryTokens;
  }

  /** The part without the beginning that this engine holds; what several engines read is read in full. */
  #withoutHeld(part: Part): Part {
    const { job } = part;
    const { beginning, promptTokens } = job;
    if (beginning === undefined || part.tokensLeft < promptTokens) return part;
    const now = this.#time.now();
    const heldTokens = this.#beginnings.leadingTokens(beginning, now);
    const tokensLeft = Math.max(1, promptTokens - heldTokens);
    const ms = prefillMs(this.#pace, promptTokens) -
      prefillMs(this.#pace, promptTokens - tokensLeft);
    return { job, tokensLeft, tokenMs: ms / tokensLeft };
  }

  /** Holds the beginning of a prompt that was read, and evicts what no longer fits beside the batch. */
  #hold({ beginning }: SimJob): void {
    if (beginning === undefined) return;
    this.#beginnings.read(beginning, this.#time.now());
    let free = this.#pace.memoryTokens;
    for (const { promptTokens } of this.#batch) free -= promptTokens;
    this.#beginnings.fit(free);
  }

  #stepMs(writers: readonly SimJob[]): number {
    let context = 0;
    for (const job of writers) context += job.promptTokens;
    return this.#pace.stepMs + writers.length * this.#pace.streamMs +
      context / 1_000 * this.#pace.contextMs;
  }

  #read(reads: readonly Part[], steps: number): number {
    let budget = steps * this.#pace.chunkTokens;
    let ms = 0;
    for (const part of reads) {
      const tokens = Math.min(budget, part.tokensLeft);
      part.tokensLeft -= tokens;
      budget -= tokens;
      ms += tokens * part.tokenMs;
      if (budget <= 0) break;
    }
    return ms;
  }

  #finishReads(): void {
    for (const list of [this.#helped, this.#own]) {
      for (let i = list.length - 1; i >= 0; i -= 1) {
        if (list[i]!.tokensLeft > 1e-6) continue;
        const { job } = list[i]!;
        job.partsLeft -= 1;
        list.splice(i, 1);
        if (list === this.#own) this.#hold(job);
        if (job.partsLeft === 0) job.onRead?.();
      }
    }
  }

  #write(job: SimJob, tokens: number): void {
    job.tokensLeft -= tokens;
    job.onEvent(this.#time.now());
    if (job.tokensLeft > 0) return;
    this.#writers.delete(job);
    this.#batch.delete(job);
    this.#beginnings.answered(job.beginning ?? [], this.#time.now());
    job.onEnd(this.#time.now());
  }
}
