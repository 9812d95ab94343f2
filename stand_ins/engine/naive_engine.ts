import type { AttemptId, Digest, PlanId } from "../../src/core/id.ts";
import type { Timestamp } from "../../src/core/time.ts";
import type { EngineJob, ModelEvent, ModelReservation } from "./job.ts";
import type { EngineModelConfig } from "./model_config.ts";

type NaiveJob = {
  job: EngineJob;
  seq: number;
  state: "waiting" | "prefilling" | "decoding" | "ended";
  position: number;
  chunk: number;
  cachedTokens: number;
  blocks: string[];
  index: number;
};

type NaivePlan = { tokens: number; expiresAt: number; kept: number };

/** The engine model written out step by step, with everything worked out anew each time; for tests. */
export class NaiveEngine {
  readonly cfg: EngineModelConfig;
  readonly events: ModelEvent[] = [];
  #jobs: NaiveJob[] = [];
  #plans = new Map<PlanId, NaivePlan>();
  #cached: string[] = [];
  #seq = 0;
  #stepEndsAt: number | undefined;
  #dirtyAt: number | undefined;
  #up = true;

  private constructor(cfg: EngineModelConfig) {
    this.cfg = cfg;
  }

  static create(cfg: EngineModelConfig): NaiveEngine {
    return new NaiveEngine(cfg);
  }

  submit(now: number, job: EngineJob): boolean {
    this.run(now, false);
    const waiting = this.#jobs.filter((j) => j.state === "waiting").length;
    if (!this.#up || waiting >= this.cfg.maxWaiting) return false;
    if (this.#jobs.some((j) => j.job.attempt === job.attempt)) return false;
    const size = this.#size(job);
    if (job.segment) {
      const plan = this.#plans.get(job.segment.plan);
      if (!plan) return false;
      const used = plan.kept + this.#planJobs(job.segment.plan)
        .reduce((sum, j) => sum + this.#size(j.job), 0);
      if (used + size > plan.tokens) return false;
    } else if (size > this.cfg.kvCapacityTokens) return false;
    this.#jobs.push({
      job,
      seq: this.#seq++,
      state: "waiting",
      position: job.segment?.from ?? 0,
      chunk: 0,
      cachedTokens: 0,
      blocks: [],
      index: job.answeredTokens ?? 0,
    });
    this.#dirty(now);
    return true;
  }

  cancel(now: number, attempt: AttemptId): void {
    this.run(now, false);
    const job = this.#jobs.find((j) => j.job.attempt === attempt);
    if (job) this.#done(now, job, "cancelled");
  }

  reserve(now: number, plan: PlanId, ask: ModelReservation): boolean {
    this.run(now, false);
    if (!this.#up) return false;
    const old = this.#plans.get(plan);
    const used = (old?.kept ?? 0) +
      this.#planJobs(plan).reduce((sum, j) => sum + this.#size(j.job), 0);
    if (ask.tokens < used) return false;
    if (ask.tokens - (old?.tokens ?? 0) > this.#free()) return false;
    this.#plans.set(plan, {
      tokens: ask.tokens,
      expiresAt: now + ask.ttlMs,
      kept: old?.kept ?? 0,
    });
    this.#trim(now);
    if (old && ask.tokens < old.tokens) this.#dirty(now);
    return true;
  }

  release(now: number, plan: PlanId): void {
    this.run(now, false);
    this.#drop(now, plan);
  }

  crash(now: number): void {
    this.run(now, false);
    this.#crash(now);
  }

  restart(): void {
    this.#up = true;
  }

  freeTokens(): number {
    return this.#free();
  }

  /** Handles what is due, one thing after another. */
  run(now: number, starts: boolean): void {
    while (this.#up) {
      const expiry = Math.min(
        ...[...this.#plans.values()].map((plan) => plan.expiresAt),
      );
      const deadline = Math.min(...this.#jobs.map((j) => j.job.deadlineAt));
      const at = Math.min(
        this.#stepEndsAt ?? Infinity,
        this.#dirtyAt ?? Infinity,
        expiry,
        deadline,
      );
      if (at > now || at === Infinity) return;
      if (this.#stepEndsAt === at) this.#endStep(at);
      else if (expiry === at) this.#expire(at);
      else if (deadline === at) this.#late(at);
      else if (at < now || starts) this.#beginStep(at);
      else return;
    }
  }

  #beginStep(now: number): void {
    this.#dirtyAt = undefined;
    for (;;) {
      const running = this.#jobs.filter((j) => j.state !== "waiting");
      if (running.length >= this.cfg.maxRunning) break;
      const next = this.#ordered("waiting")[0];
      if (!next || !this.#start(next)) break;
    }
    this.#trim(now);
    if (!this.#jobs.some((j) => j.state !== "waiting")) return;
    let time = this.cfg.stepMs;
    for (const job of this.#jobs) {
      if (job.state === "decoding") time += this.cfg.decodeStreamMs;
    }
    for (let i = 0; i < this.cfg.prefillStepTokens; i += 1) {
      const job = this.#ordered("prefilling").find((j) =>
        j.position + j.chunk < this.#prefillEnd(j.job)
      );
      if (!job) break;
      const position = job.position + job.chunk;
      const remote = (job.job.segment?.from ?? 0) > 0;
      time += this.cfg.prefillTokenMs *
        (1 + position / this.cfg.prefillContextTokens) *
        (remote ? this.cfg.remoteKvFactor : 1);
      job.chunk += 1;
    }
    this.#stepEndsAt = now + time;
  }

  #start(job: NaiveJob): boolean {
    job.state = "prefilling";
    const { segment } = job.job;
    const keys = this.#keys(job.job);
    let hits = 0;
    while (hits < keys.length && this.#cached.includes(keys[hits]!)) hits += 1;
    job.blocks = keys.slice(0, hits);
    if (segment) this.#unuse(job);
    if (hits === 0 && segment) return true;
    if (this.#free() < 0) {
      job.state = "waiting";
      this.#unuse(job);
      return false;
    }
    job.cachedTokens = Math.min(
      hits * this.cfg.blockTokens,
      this.#prefillEnd(job.job) - 1,
    );
    job.position = job.cachedTokens;
    return true;
  }

  #endStep(now: number): void {
    this.#stepEndsAt = undefined;
    const prefilling = this.#ordered("prefilling");
    if (prefilling.some((j) => j.job.poison && j.chunk > 0)) {
      return this.#crash(now);
    }
    const streams = this.#jobs.filter((j) => j.state === "decoding");
    streams.sort((a, b) =>
      this.#decodeOrder.get(a)! - this.#decodeOrder.get(b)!
    );
    for (const job of prefilling) {
      if (job.chunk === 0) continue;
      job.position += job.chunk;
      job.chunk = 0;
      if (job.position < this.#prefillEnd(job.job)) continue;
      this.#prefilled(now, job);
      if (job.state === "decoding") streams.push(job);
    }
    const tokens = streams
      .filter((j) => j.index < j.job.answerTokens)
      .map((j) => ({ attempt: j.job.attempt, index: j.index++ }));
    if (tokens.length > 0) {
      this.events.push({ type: "tokens", at: now as Timestamp, tokens });
    }
    for (const job of streams) {
      if (job.index < job.job.answerTokens) continue;
      const full = job.job.answerTokens >= job.job.maxTokens;
      this.#done(now, job, full ? "length" : "stop");
    }
    if (this.#jobs.length > 0) this.#dirty(now);
  }

  readonly #decodeOrder = new Map<NaiveJob, number>();
  #decodeSeq = 0;

  #prefilled(now: number, job: NaiveJob): void {
    const { attempt, segment } = job.job;
    this.events.push({
      type: "prefilled",
      at: now as Timestamp,
      attempt,
      cachedTokens: job.cachedTokens,
    });
    const keys = this.#keys(job.job);
    const stored = keys.slice(job.blocks.length)
      .filter((key) => !this.#cached.includes(key));
    job.blocks = keys;
    this.#cached.push(...stored);
    this.#cacheEvent(now, "stored", stored);
    if (segment) {
      this.#unuse(job);
      this.#trim(now);
    }
    if (segment && !segment.last) {
      this.#plans.get(segment.plan)!.kept += this.#size(job.job);
      this.#done(now, job, "segment");
      return;
    }
    job.state = "decoding";
    this.#decodeOrder.set(job, this.#decodeSeq++);
  }

  #done(
    now: number,
    job: NaiveJob,
    finish: "stop" | "length" | "cancelled" | "segment",
  ): void {
    this.#end(now, job);
    this.events.push({
      type: "done",
      at: now as Timestamp,
      attempt: job.job.attempt,
      count: job.index,
      finish,
      promptTokens: job.job.promptTokens,
      cachedTokens: job.cachedTokens,
    });
  }

  #fail(now: number, job: NaiveJob, code: "deadline" | "plan_broken"): void {
    this.#end(now, job);
    const { attempt } = job.job;
    this.events.push({ type: "error", at: now as Timestamp, attempt, code });
  }

  #end(now: number, job: NaiveJob): void {
    job.state = "ended";
    this.#jobs = this.#jobs.filter((other) => other !== job);
    this.#unuse(job);
    this.#dirty(now);
  }

  /** A prefix that nobody uses any more was used last just now, its first block last of all. */
  #unuse(job: NaiveJob): void {
    const keys = job.blocks;
    job.blocks = [];
    for (const key of [...keys].reverse()) {
      if (this.#jobs.some((other) => other.blocks.includes(key))) continue;
      this.#cached = this.#cached.filter((other) => other !== key);
      this.#cached.push(key);
    }
  }

  #expire(now: number): void {
    for (const [id, plan] of [...this.#plans]) {
      if (plan.expiresAt > now) continue;
      this.events.push({
        type: "reservation_lapsed",
        at: now as Timestamp,
        plan: id,
      });
      this.#drop(now, id);
    }
  }

  #drop(now: number, plan: PlanId): void {
    if (!this.#plans.has(plan)) return;
    for (const job of this.#planJobs(plan)) {
      this.#fail(now, job, "plan_broken");
    }
    this.#plans.delete(plan);
    this.#dirty(now);
  }

  #late(now: number): void {
    const late = this.#jobs.filter((j) => j.job.deadlineAt <= now);
    late.sort((a, b) => a.job.deadlineAt - b.job.deadlineAt || a.seq - b.seq);
    for (const job of late) this.#fail(now, job, "deadline");
  }

  #crash(now: number): void {
    if (!this.#up) return;
    this.events.push({
      type: "crashed",
      at: now as Timestamp,
      attempts: this.#jobs.map((j) => j.job.attempt),
    });
    this.#jobs = [];
    this.#plans.clear();
    this.#cached = [];
    this.#stepEndsAt = undefined;
    this.#dirtyAt = undefined;
    this.#up = false;
  }

  #trim(now: number): void {
    const used = this.#usedKeys();
    const evicted: string[] = [];
    while (
      this.#cached.length - used.size > this.#free() / this.cfg.blockTokens
    ) {
      const key = this.#cached.find((other) => !used.has(other))!;
      this.#cached = this.#cached.filter((other) => other !== key);
      evicted.push(key);
    }
    this.#cacheEvent(now, "evicted", evicted);
  }

  #cacheEvent(at: number, change: "stored" | "evicted", keys: string[]): void {
    if (keys.length === 0) return;
    const blocks = keys.map((key) => key.split(" ")[1] as Digest);
    this.events.push({ type: "cache", at: at as Timestamp, change, blocks });
  }

  #free(): number {
    let free = this.cfg.kvCapacityTokens;
    for (const plan of this.#plans.values()) free -= plan.tokens;
    for (const job of this.#jobs) {
      if (job.state === "waiting" || job.job.segment) continue;
      free -= this.#size(job.job) - job.blocks.length * this.cfg.blockTokens;
    }
    return free - this.#usedKeys().size * this.cfg.blockTokens;
  }

  #usedKeys(): Set<string> {
    return new Set(this.#jobs.flatMap((j) => j.blocks));
  }

  #planJobs(plan: PlanId): NaiveJob[] {
    return this.#jobs.filter((j) => j.job.segment?.plan === plan);
  }

  #ordered(state: NaiveJob["state"]): NaiveJob[] {
    return this.#jobs
      .filter((j) => j.state === state)
      .sort((a, b) => a.job.priority - b.job.priority || a.seq - b.seq);
  }

  #size(job: EngineJob): number {
    if (!job.segment) return job.promptTokens + job.maxTokens;
    const { from, to, last } = job.segment;
    return to - from + (last ? job.maxTokens : 0);
  }

  #prefillEnd(job: EngineJob): number {
    const { segment, answeredTokens = 0 } = job;
    if (!segment) return job.promptTokens + answeredTokens;
    return segment.to + (segment.last ? answeredTokens : 0);
  }

  #keys(job: EngineJob): string[] {
    const { model, version, adapter = "" } = job.weights;
    if ((job.segment?.from ?? 0) > 0) return [];
    const end = job.segment?.to ?? job.promptTokens;
    const count = Math.floor(end / this.cfg.blockTokens);
    return job.blocks.slice(0, count)
      .map((block) => `${model}/${version}/${adapter} ${block}`);
  }

  #dirty(now: number): void {
    if (this.#stepEndsAt === undefined) this.#dirtyAt ??= now;
  }
}
