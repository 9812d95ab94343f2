import type { Result } from "neverthrow";
import type {
  AttemptId,
  Incarnation,
  PlanId,
  UpstreamId,
} from "../../src/core/id.ts";
import type { Random } from "../../src/core/random.ts";
import type { Timestamp } from "../../src/core/time.ts";
import type { CacheEvent, Loaded, LoadReport } from "../../src/wire/engine.ts";
import {
  EngineModel,
  type ModelRefusal,
} from "../../stand_ins/engine/engine_model.ts";
import type { EngineJob, ModelEvent } from "../../stand_ins/engine/job.ts";
import { LaggedReports } from "../../stand_ins/engine/lagged_reports.ts";
import type { VirtualClock } from "./clock.ts";

/** What happens to one attempt at an engine. */
export type AttemptListener = Readonly<{
  token: (at: Timestamp, index: number) => void;
  done: (
    at: Timestamp,
    event: Extract<ModelEvent, { type: "done" }>,
  ) => void;
  failed: (at: Timestamp, code: "deadline" | "plan_broken" | "crashed") => void;
}>;

/** One engine of the measured fleet: the model of the stand-in with its lagging reports. */
export class EngineHost {
  readonly id: UpstreamId;
  readonly #clock: VirtualClock;
  readonly #model: EngineModel;
  readonly #reports: LaggedReports;
  readonly #listeners = new Map<AttemptId, AttemptListener>();
  readonly #onCrash: () => void;
  #dueAt = Infinity;
  #cacheSeq = 0;
  #runs = 1;

  private constructor(
    id: UpstreamId,
    clock: VirtualClock,
    options: Readonly<
      { loaded: readonly Loaded[]; random: Random; onCrash: () => void }
    >,
  ) {
    this.id = id;
    this.#clock = clock;
    this.#onCrash = options.onCrash;
    this.#model = EngineModel.create({
      incarnation: `${id}-1` as Incarnation,
      loaded: options.loaded,
    });
    this.#reports = LaggedReports.create(options.random, clock.now);
  }

  static create(
    id: UpstreamId,
    clock: VirtualClock,
    options: Readonly<
      { loaded: readonly Loaded[]; random: Random; onCrash: () => void }
    >,
  ): EngineHost {
    return new EngineHost(id, clock, options);
  }

  get incarnation(): Incarnation {
    return this.#model.incarnation;
  }

  get up(): boolean {
    return this.#model.up;
  }

  get leaving(): boolean {
    return this.#model.leaving;
  }

  /** Whether nothing runs here. */
  get idle(): boolean {
    return this.#listeners.size === 0;
  }

  /** Takes a prompt in, or says why not. */
  submit(
    job: EngineJob,
    listener: AttemptListener,
  ): Result<void, ModelRefusal> {
    this.#settle();
    const taken = this.#model.submit(this.#clock.now, job);
    if (taken.isOk()) this.#listeners.set(job.attempt, listener);
    this.#arm();
    return taken;
  }

  /** Hands a running answer on to another listener; false if it does not run here. */
  reattach(attempt: AttemptId, listener: AttemptListener): boolean {
    if (!this.#listeners.has(attempt)) return false;
    this.#listeners.set(attempt, listener);
    return true;
  }

  cancel(attempt: AttemptId): void {
    this.#settle();
    this.#listeners.delete(attempt);
    this.#model.cancel(this.#clock.now, attempt);
    this.#arm();
  }

  reserve(plan: PlanId, tokens: number, ttlMs: number): boolean {
    this.#settle();
    const reservation = { owner: plan, tokens, ttlMs };
    const held = this.#model.reserve(this.#clock.now, plan, reservation);
    this.#arm();
    return held.isOk();
  }

  /** Whether an attempt waits or runs here. */
  has(attempt: AttemptId): boolean {
    return this.#model.has(attempt);
  }

  /** Renews a plan's time limit as it is. */
  renew(plan: PlanId): void {
    this.#settle();
    this.#model.renew(this.#clock.now, plan);
    this.#arm();
  }

  release(plan: PlanId): void {
    this.#settle();
    this.#model.release(this.#clock.now, plan);
    this.#arm();
  }

  crash(): void {
    this.#settle();
    this.#model.crash(this.#clock.now);
    this.#settle();
  }

  restart(): void {
    this.#runs += 1;
    this.#model.restart(`${this.id}-${this.#runs}` as Incarnation);
  }

  leave(): void {
    this.#model.leave();
  }

  /** Measures the load if that is due; returns the newest report that has arrived. */
  poll(): Readonly<
    { load: LoadReport | undefined; cache: readonly CacheEvent[] }
  > {
    this.#settle();
    const { now } = this.#clock;
    if (this.#model.up) this.#reports.sample(now, this.#model);
    const cache = this.#reports.cacheEvents(now, this.#cacheSeq);
    this.#cacheSeq = cache.at(-1)?.seq ?? this.#cacheSeq;
    return { load: this.#reports.load(now), cache };
  }

  #settle(): void {
    const events = this.#model.advance(this.#clock.now);
    this.#reports.publish(events);
    for (const event of events) this.#tell(event);
  }

  #tell(event: ModelEvent): void {
    switch (event.type) {
      case "tokens":
        for (const { attempt, index } of event.tokens) {
          this.#listeners.get(attempt)?.token(event.at, index);
        }
        return;
      case "done":
        return this.#finish(event.attempt)?.done(event.at, event);
      case "error":
        return this.#finish(event.attempt)?.failed(event.at, event.code);
      case "crashed":
        this.#onCrash();
        for (const attempt of event.attempts) {
          this.#finish(attempt)?.failed(event.at, "crashed");
        }
    }
  }

  #finish(attempt: AttemptId): AttemptListener | undefined {
    const listener = this.#listeners.get(attempt);
    this.#listeners.delete(attempt);
    return listener;
  }

  /** Comes back when the model has something to do. */
  #arm(): void {
    const at = this.#model.nextEventAt();
    if (at === undefined || at >= this.#dueAt) return;
    this.#dueAt = at;
    this.#clock.at(at, () => {
      if (this.#dueAt !== at) return;
      this.#dueAt = Infinity;
      this.#settle();
      this.#arm();
    });
  }
}
