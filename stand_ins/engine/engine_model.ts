import { err, ok, type Result } from "neverthrow";
import TinyQueue from "tinyqueue";
import type { AttemptId, Incarnation, PlanId } from "../../src/core/id.ts";
import { addMs, earliest, type Timestamp } from "../../src/core/time.ts";
import type {
  EngineRefusal,
  Loaded,
  LoadReport,
  Role,
} from "../../src/wire/engine.ts";
import {
  type ActiveJob,
  compareDeadlines,
  compareJobs,
  createActiveJob,
  isLate,
  prefillLeft,
} from "./active_job.ts";
import { Batch } from "./batch.ts";
import type {
  EngineJob,
  ModelEvent,
  ModelReservation,
  TransferDirection,
} from "./job.ts";
import { type HeldMemory, KvMemory } from "./kv_memory.ts";
import {
  createModelConfig,
  type EngineModelConfig,
  type EngineModelOptions,
} from "./model_config.ts";
import { checkJob, isLoaded, refuse } from "./model_refusal.ts";
import { type BlockKey, keyDigest } from "./prefix_cache.ts";
import { Transfers } from "./transfers.ts";

/** Why the model refused; nothing was run. */
export type ModelRefusal = EngineRefusal;

/** One model engine under virtual time; it does no I/O and its caller moves the clock. */
export class EngineModel {
  readonly #cfg: EngineModelConfig;
  readonly #memory: KvMemory;
  readonly #batch: Batch;
  readonly #jobs = new Map<AttemptId, ActiveJob>();
  #waiting = new TinyQueue<ActiveJob>([], compareJobs);
  #waitingCount = 0;
  #deadlines = new TinyQueue<ActiveJob>([], compareDeadlines);
  readonly #transfers: Transfers;
  #events: ModelEvent[] = [];
  #seq = 0;
  #incarnation: Incarnation;
  #loaded: readonly Loaded[];
  #role: Role;
  #leaving = false;
  #up = true;
  #stepEndsAt: Timestamp | undefined;
  /** When an idle engine may begin a step. */
  #readyAt: Timestamp | undefined;

  private constructor(cfg: EngineModelConfig) {
    this.#cfg = cfg;
    this.#memory = KvMemory.create(cfg.kvCapacityTokens, cfg.blockTokens);
    this.#batch = Batch.create(cfg);
    this.#transfers = Transfers.create(cfg.kvTransferTokensPerMs);
    this.#incarnation = cfg.incarnation;
    this.#loaded = cfg.loaded;
    this.#role = cfg.role;
  }

  static create(options: EngineModelOptions): EngineModel {
    return new EngineModel(createModelConfig(options));
  }

  get cfg(): EngineModelConfig {
    return this.#cfg;
  }

  get incarnation(): Incarnation {
    return this.#incarnation;
  }

  get up(): boolean {
    return this.#up;
  }

  get loaded(): readonly Loaded[] {
    return this.#loaded;
  }

  get role(): Role {
    return this.#role;
  }

  get leaving(): boolean {
    return this.#leaving;
  }

  /** Whether an attempt waits or runs here. */
  has(attempt: AttemptId): boolean {
    return this.#jobs.has(attempt);
  }

  /** What a plan holds here. */
  held(plan: PlanId): Readonly<HeldMemory> | undefined {
    return this.#memory.held.get(plan);
  }

  /** Takes a prompt in at `now`, or says why not. */
  submit(now: Timestamp, job: EngineJob): Result<void, ModelRefusal> {
    this.#run(now, false);
    const refusal = this.#refusal(job);
    if (refusal) return err(refusal);
    const active = createActiveJob(job, this.#seq++, this.#cfg);
    const { segment } = job;
    if (segment) {
      const held = this.#memory.held.get(segment.plan)!;
      held.used += active.memoryTokens;
      active.remote = segment.from > held.imported;
    }
    this.#jobs.set(job.attempt, active);
    this.#waiting.push(active);
    this.#waitingCount += 1;
    this.#deadlines.push(active);
    this.#wake(now);
    return ok();
  }

  /** Ends an attempt and frees its memory; returns whether it was running. */
  cancel(now: Timestamp, attempt: AttemptId): boolean {
    this.#run(now, false);
    const active = this.#jobs.get(attempt);
    if (!active) return false;
    this.#finish(now, active, "cancelled");
    return true;
  }

  /** Sets memory aside for a plan, or renews its time limit. */
  reserve(
    now: Timestamp,
    plan: PlanId,
    reservation: ModelReservation,
  ): Result<void, ModelRefusal> {
    this.#run(now, false);
    if (!this.#up) return err(refuse("leaving", "Engine is down"));
    const { owner, tokens, ttlMs } = reservation;
    const held = this.#memory.held.get(plan);
    const more = tokens - (held?.tokens ?? 0);
    if (held && tokens < held.used) {
      return err(refuse("no_memory", "Plan uses more than that"));
    }
    if (
      more > this.#memory.freeTokens ||
      (!held && this.#memory.held.size >= this.#cfg.maxReservations)
    ) return err(refuse("no_memory", "Memory is in use"));
    const expiresAt = addMs(now, ttlMs);
    if (held) {
      held.owner = owner;
      held.tokens = tokens;
      held.ttlMs = ttlMs;
      held.expiresAt = expiresAt;
    } else {
      this.#memory.held.set(plan, {
        plan,
        owner,
        tokens,
        ttlMs,
        expiresAt,
        used: 0,
        imported: 0,
        segments: [],
      });
    }
    this.#memory.reserve(more);
    this.#trim(now);
    if (more < 0) this.#wake(now);
    return ok();
  }

  /** Renews a plan's time limit as it is. */
  renew(now: Timestamp, plan: PlanId): void {
    this.#run(now, false);
    const held = this.#memory.held.get(plan);
    if (held) held.expiresAt = addMs(now, held.ttlMs);
  }

  /** Frees a plan's memory and ends what runs in it; doing it twice is harmless. */
  release(now: Timestamp, plan: PlanId): void {
    this.#run(now, false);
    this.#drop(now, plan);
  }

  /** Starts to copy a plan's KV cache; `transferred` tells the end. */
  transfer(
    now: Timestamp,
    plan: PlanId,
    options: { direction: TransferDirection; tokens: number },
  ): Result<void, ModelRefusal> {
    this.#run(now, false);
    const held = this.#memory.held.get(plan);
    if (!held) return err(refuse("unknown_plan", "No memory is reserved"));
    const importing = options.direction === "import";
    if (importing && held.used + options.tokens > held.tokens) {
      return err(refuse("no_memory", "Reservation is too small"));
    }
    if (this.#transfers.full) {
      return err(refuse("queue_full", "Too many transfers"));
    }
    if (importing) held.used += options.tokens;
    this.#transfers.add(now, { plan, ...options });
    return ok();
  }

  /** Ends an import that its source broke off; its memory can be used again. */
  abortImport(now: Timestamp, plan: PlanId): void {
    this.#run(now, false);
    this.#dropTransfers(now, plan, "import");
  }

  /** Takes no new work from now on. */
  leave(): void {
    this.#leaving = true;
  }

  /** Sets what is loaded; attempts on weights that are gone go on to their end. */
  setLoaded(loaded: readonly Loaded[], role: Role): void {
    this.#loaded = loaded;
    this.#role = role;
  }

  /** Loses everything at `now`. */
  crash(now: Timestamp): void {
    this.#run(now, false);
    this.#crash(now);
  }

  /** Comes back empty, as a new incarnation. */
  restart(incarnation: Incarnation): void {
    this.#incarnation = incarnation;
    this.#up = true;
    this.#leaving = false;
  }

  /** When `advance` is due next. */
  nextEventAt(): Timestamp | undefined {
    if (!this.#up) return undefined;
    let at = earliest(this.#stepEndsAt, this.#readyAt);
    at = earliest(at, this.#transfers.endsAt);
    at = earliest(at, this.#nextExpiry());
    return earliest(at, this.#nextDeadline());
  }

  /** Runs up to and including `now`; returns what has happened since the last call. */
  advance(now: Timestamp): readonly ModelEvent[] {
    this.#run(now, true);
    const events = this.#events;
    this.#events = [];
    return events;
  }

  /** The true load at `now`, without lag. */
  loadReport(now: Timestamp): LoadReport {
    let prefillTokens = 0;
    for (const active of this.#jobs.values()) {
      prefillTokens += prefillLeft(active);
    }
    return {
      incarnation: this.#incarnation,
      at: Math.floor(now) as Timestamp,
      running: this.#batch.size,
      waiting: this.#waitingCount,
      decoding: this.#batch.decoding.length,
      prefill_tokens: prefillTokens,
      kv_capacity_tokens: this.#cfg.kvCapacityTokens,
      kv_free_tokens: this.#memory.freeTokens,
      loaded: [...this.#loaded],
      role: this.#role,
      leaving: this.#leaving,
    };
  }

  #refusal(job: EngineJob): ModelRefusal | undefined {
    const { segment } = job;
    if (!this.#up || this.#leaving) return refuse("leaving", "Leaving");
    if (!isLoaded(this.#loaded, job.weights)) {
      return refuse("not_loaded", "Weights are not loaded");
    }
    if (this.#jobs.has(job.attempt)) {
      return refuse("bad_request", "Attempt runs already");
    }
    const wrong = checkJob(job);
    if (wrong) return wrong;
    if (this.#waitingCount >= this.#cfg.maxWaiting) {
      return refuse("queue_full", "Too many requests wait");
    }
    if (!segment) {
      const total = job.promptTokens + job.maxTokens;
      return total > this.#cfg.kvCapacityTokens
        ? refuse("too_long", "Prompt is larger than the KV memory")
        : undefined;
    }
    const held = this.#memory.held.get(segment.plan);
    if (!held) return refuse("unknown_plan", "No memory is reserved");
    const needed = segment.to - segment.from +
      (segment.last ? job.maxTokens : 0);
    return held.used + needed > held.tokens
      ? refuse("no_memory", "Reservation is too small")
      : undefined;
  }

  /** Handles all that is due; with `starts`, also a step that begins at `now` itself. */
  #run(now: Timestamp, starts: boolean): void {
    while (this.#up) {
      const at = this.nextEventAt();
      if (at === undefined || at > now) return;
      if (this.#stepEndsAt === at) this.#endStep(at);
      else if (this.#transfers.endsAt === at) this.#endTransfer(at);
      else if (this.#nextExpiry() === at) this.#expire(at);
      else if (this.#nextDeadline() === at) this.#dropLate(at);
      else if (at < now || starts) this.#beginStep(at);
      else return;
    }
  }

  #wake(now: Timestamp): void {
    if (this.#stepEndsAt === undefined) this.#readyAt ??= now;
  }

  #beginStep(now: Timestamp): void {
    this.#readyAt = undefined;
    this.#admit(now);
    if (this.#batch.size === 0) return;
    this.#stepEndsAt = addMs(now, this.#batch.begin());
  }

  #admit(now: Timestamp): void {
    while (this.#batch.size < this.#cfg.maxRunning) {
      const active = this.#nextWaiting();
      if (!active || !this.#takeMemory(active)) break;
      this.#waiting.pop();
      this.#waitingCount -= 1;
      this.#batch.add(active);
    }
    this.#trim(now);
  }

  #takeMemory(active: ActiveJob): boolean {
    const { segment } = active.job;
    const hits = segment
      ? this.#memory.reuse(active.keys)
      : this.#memory.take(active.keys, active.memoryTokens);
    if (hits === undefined) return false;
    if (!segment) active.blocks = hits;
    if (hits === 0) return true;
    active.cachedTokens = Math.min(
      hits * this.#cfg.blockTokens,
      active.prefillEnd - 1,
    );
    active.position = active.cachedTokens;
    return true;
  }

  #endStep(now: Timestamp): void {
    this.#stepEndsAt = undefined;
    if (this.#batch.prefilling.some(isPoison)) return this.#crash(now);
    const decoding = this.#batch.decoding;
    const completed = this.#batch.end();
    const streams = [...decoding];
    for (const active of completed) {
      this.#endPrefill(now, active);
      if (active.state === "decoding") streams.push(active);
    }
    this.#decode(now, streams);
    if (this.#batch.size > 0 || this.#nextWaiting()) this.#wake(now);
  }

  #endPrefill(now: Timestamp, active: ActiveJob): void {
    const { job, cachedTokens } = active;
    this.#events.push({
      type: "prefilled",
      at: now,
      attempt: job.attempt,
      cachedTokens,
    });
    this.#storeBlocks(now, active);
    if (!job.segment || job.segment.last) return this.#batch.decode(active);
    const { from, to } = job.segment;
    this.#memory.held.get(job.segment.plan)?.segments.push({ from, to });
    this.#finish(now, active, "segment");
  }

  #storeBlocks(now: Timestamp, active: ActiveJob): void {
    const { job, keys } = active;
    if (job.segment) {
      this.#cacheEvent(now, "stored", this.#memory.copy(keys));
      return this.#trim(now);
    }
    const stored = this.#memory.store(keys, active.blocks);
    active.blocks = keys.length;
    this.#cacheEvent(now, "stored", stored);
  }

  #decode(now: Timestamp, streams: readonly ActiveJob[]): void {
    const tokens: { attempt: AttemptId; index: number }[] = [];
    const ended: ActiveJob[] = [];
    for (const active of streams) {
      if (active.index < active.job.answerTokens) {
        tokens.push({ attempt: active.job.attempt, index: active.index });
        active.index += 1;
      }
      if (active.index >= active.job.answerTokens) ended.push(active);
    }
    if (tokens.length > 0) {
      this.#events.push({ type: "tokens", at: now, tokens });
    }
    for (const active of ended) {
      const { answerTokens, maxTokens } = active.job;
      const finish = answerTokens >= maxTokens ? "length" : "stop";
      this.#finish(now, active, finish);
    }
  }

  #finish(
    now: Timestamp,
    active: ActiveJob,
    finish: "stop" | "length" | "cancelled" | "segment",
  ): void {
    this.#end(now, active, finish === "segment");
    this.#events.push({
      type: "done",
      at: now,
      attempt: active.job.attempt,
      count: active.index,
      finish,
      promptTokens: active.job.promptTokens,
      cachedTokens: active.cachedTokens,
    });
  }

  #fail(
    now: Timestamp,
    active: ActiveJob,
    code: "deadline" | "plan_broken",
  ): void {
    this.#end(now, active, false);
    const { attempt } = active.job;
    this.#events.push({ type: "error", at: now, attempt, code });
  }

  #end(now: Timestamp, active: ActiveJob, keepsMemory: boolean): void {
    const { job } = active;
    const waiting = active.state === "waiting";
    if (waiting) this.#waitingCount -= 1;
    else this.#batch.remove(active);
    active.state = "ended";
    this.#jobs.delete(job.attempt);
    if (job.segment) {
      const held = this.#memory.held.get(job.segment.plan);
      if (held && !keepsMemory) held.used -= active.memoryTokens;
    } else if (!waiting) {
      this.#memory.give(active.keys, {
        blocks: active.blocks,
        total: active.memoryTokens,
      });
    }
    this.#wake(now);
  }

  #endTransfer(now: Timestamp): void {
    const ended = this.#transfers.end(now);
    if (ended === undefined) return;
    const { plan, direction, tokens } = ended;
    const held = this.#memory.held.get(plan);
    if (held && direction === "import") held.imported += tokens;
    this.#events.push({
      type: "transferred",
      at: now,
      plan,
      direction,
      tokens,
    });
  }

  #dropTransfers(
    now: Timestamp,
    plan: PlanId,
    direction?: TransferDirection,
  ): void {
    const held = this.#memory.held.get(plan);
    for (const dropped of this.#transfers.drop(now, plan, direction)) {
      if (held && dropped.direction === "import") held.used -= dropped.tokens;
    }
  }

  #nextExpiry(): Timestamp | undefined {
    let at: Timestamp | undefined;
    for (const held of this.#memory.held.values()) {
      at = earliest(at, held.expiresAt);
    }
    return at;
  }

  #expire(now: Timestamp): void {
    for (const held of [...this.#memory.held.values()]) {
      if (held.expiresAt > now) continue;
      this.#events.push({
        type: "reservation_lapsed",
        at: now,
        plan: held.plan,
      });
      this.#drop(now, held.plan);
    }
  }

  #drop(now: Timestamp, plan: PlanId): void {
    const held = this.#memory.held.get(plan);
    if (!held) return;
    for (const active of [...this.#jobs.values()]) {
      if (active.job.segment?.plan !== plan) continue;
      this.#fail(now, active, "plan_broken");
    }
    this.#dropTransfers(now, plan);
    this.#memory.held.delete(plan);
    this.#memory.reserve(-held.tokens);
    this.#wake(now);
  }

  #nextWaiting(): ActiveJob | undefined {
    return peekLive(this.#waiting);
  }

  #nextDeadline(): Timestamp | undefined {
    return peekLive(this.#deadlines)?.job.deadlineAt;
  }

  #dropLate(now: Timestamp): void {
    for (;;) {
      const active = peekLive(this.#deadlines);
      if (!active || !isLate(active, now)) return;
      this.#fail(now, active, "deadline");
    }
  }

  #crash(now: Timestamp): void {
    if (!this.#up) return;
    const attempts = [...this.#jobs.keys()];
    this.#jobs.clear();
    this.#batch.clear();
    this.#memory.clear();
    this.#waiting = new TinyQueue<ActiveJob>([], compareJobs);
    this.#waitingCount = 0;
    this.#deadlines = new TinyQueue<ActiveJob>([], compareDeadlines);
    this.#transfers.clear();
    this.#stepEndsAt = undefined;
    this.#readyAt = undefined;
    this.#up = false;
    this.#events.push({ type: "crashed", at: now, attempts });
  }

  #trim(now: Timestamp): void {
    this.#cacheEvent(now, "evicted", this.#memory.trim());
  }

  #cacheEvent(
    at: Timestamp,
    change: "stored" | "evicted",
    keys: readonly BlockKey[],
  ): void {
    if (keys.length === 0) return;
    const blocks = keys.map(keyDigest);
    this.#events.push({ type: "cache", at, change, blocks });
  }
}

function isPoison(active: ActiveJob): boolean {
  return active.job.poison === true && active.chunk > 0;
}

function peekLive(queue: TinyQueue<ActiveJob>): ActiveJob | undefined {
  let top = queue.peek();
  while (top && top.state === "ended") {
    queue.pop();
    top = queue.peek();
  }
  return top;
}
