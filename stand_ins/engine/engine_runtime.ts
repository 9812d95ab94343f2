import { clearInterval, setInterval, setTimeout } from "node:timers";
import { v4 as uuid } from "uuid";
import type {
  AttemptId,
  FencingNumber,
  Incarnation,
  PlanId,
} from "../../src/core/id.ts";
import { Random } from "../../src/core/random.ts";
import { addMs, earliest, type Millis } from "../../src/core/time.ts";
import {
  type EngineOrder,
  type EngineState,
  type LoadReport,
  STREAM_PING_MS,
} from "../../src/wire/engine.ts";
import { SystemTimers, type Timer, type Timers } from "../common/timers.ts";
import { Answers } from "./answers.ts";
import type { EngineServerConfig } from "./engine_config.ts";
import { EngineModel } from "./engine_model.ts";
import { Faults } from "./faults.ts";
import type { ModelEvent } from "./job.ts";
import { LaggedReports } from "./lagged_reports.ts";
import { ModelClock } from "./model_clock.ts";
import { TransferWaits } from "./transfer_waits.ts";
import { WeightLoader } from "./weight_loader.ts";

/** One run of an engine: the model, moved on by the clock, and what its calls share. */
export class EngineRuntime {
  readonly cfg: EngineServerConfig;
  readonly clock: ModelClock;
  readonly model: EngineModel;
  readonly faults: Faults;
  readonly answers: Answers;
  readonly transfers = TransferWaits.create();
  readonly reports: LaggedReports;
  /** A prompt with this text crashes the engine; empty for none. */
  poison = "";
  readonly #loader: WeightLoader;
  readonly #onCrash: () => void;
  #fencing: FencingNumber | undefined;
  readonly #timers: Timers;
  #timer: Timer | undefined;
  #pings: NodeJS.Timeout | undefined;
  #thaw: Promise<void> | undefined;
  #stopped = false;

  private constructor(
    cfg: EngineServerConfig,
    options: { incarnation: Incarnation; onCrash: () => void },
  ) {
    const { incarnation, onCrash } = options;
    const { loaded } = cfg;
    this.cfg = cfg;
    this.#onCrash = onCrash;
    this.#timers = cfg.timers ?? SystemTimers.create();
    this.clock = ModelClock.create(this.#timers, cfg.timeScale);
    this.faults = Faults.create();
    this.model = EngineModel.create({ ...cfg.model, loaded, incarnation });
    const random = Random.create(cfg.seed ?? 1);
    this.reports = LaggedReports.create(random, this.clock.now());
    this.answers = Answers.create(cfg, this.#timers, {
      cancel: (attempt) => this.cancel(attempt),
      renewPlan: (plan) => this.model.renew(this.clock.now(), plan),
      breakPlan: (plan) => this.releasePlan(plan),
    });
    this.#loader = WeightLoader.create({
      loaded,
      store: cfg.weightStore,
      pause: (ms) => this.#pause(ms),
      onChange: (now) => this.model.setLoaded(now, this.model.role),
    });
  }

  /** Starts a run with a random incarnation, unless one is given. */
  static create(
    cfg: EngineServerConfig,
    options: { incarnation?: Incarnation; onCrash: () => void },
  ): EngineRuntime {
    const incarnation = options.incarnation ?? uuid() as Incarnation;
    return new EngineRuntime(cfg, { ...options, incarnation });
  }

  /** Resolves once the engine is not frozen. */
  get thawed(): Promise<void> {
    return this.#thaw ?? Promise.resolve();
  }

  start(): void {
    const pingMs = this.cfg.pingMs ?? STREAM_PING_MS;
    this.#pings = setInterval(() => this.#ping(), pingMs);
    this.pump();
  }

  stop(): void {
    this.#stopped = true;
    this.#timer?.clear();
    clearInterval(this.#pings);
    this.#loader.stop();
    this.answers.clear();
    this.transfers.settle(() => false);
  }

  crash(): void {
    this.model.crash(this.clock.now());
    this.pump();
  }

  cancel(attempt: AttemptId): void {
    this.model.cancel(this.clock.now(), attempt);
    this.pump();
  }

  releasePlan(plan: PlanId): void {
    this.model.release(this.clock.now(), plan);
    this.pump();
  }

  /** Takes an order, or returns the higher fencing number that it comes after. */
  order(order: EngineOrder): FencingNumber | undefined {
    const { fencing, role } = order;
    const highest = this.#fencing;
    const isOld = highest !== undefined && fencing < highest;
    if (this.cfg.checksFencing && isOld) return highest;
    this.#fencing = fencing;
    this.model.setLoaded(this.model.loaded, role);
    this.#loader.order(order);
    return undefined;
  }

  state(): EngineState {
    return {
      incarnation: this.model.incarnation,
      loaded: [...this.model.loaded],
      loading: this.#loader.loading,
      role: this.model.role,
      fencing: this.cfg.checksFencing ? this.#fencing : undefined,
      leaving: this.model.leaving,
    };
  }

  /** The newest report that has arrived; before the first, that of an engine which has just started. */
  load(): LoadReport {
    this.pump();
    const now = this.clock.now();
    const report = this.model.loadReport(now);
    return this.reports.load(now) ?? {
      ...report,
      running: 0,
      waiting: 0,
      decoding: 0,
      prefill_tokens: 0,
      kv_free_tokens: report.kv_capacity_tokens,
    };
  }

  /** Answers nothing and runs nothing for `ms`. */
  freeze(ms: Millis): void {
    if (this.#thaw) return;
    this.pump();
    this.#timer?.clear();
    this.clock.setFrozen(true);
    this.#thaw = new Promise((resolve) => {
      setTimeout(() => {
        this.#thaw = undefined;
        this.clock.setFrozen(false);
        this.pump();
        resolve();
      }, ms);
    });
  }

  /** Runs the model up to now, passes on what happened, and sets the next timer. */
  pump(): void {
    if (this.#stopped || this.#thaw) return;
    this.#timer?.clear();
    const now = this.clock.now();
    const events = this.model.advance(now);
    this.reports.publish(events);
    if (this.model.up) this.reports.sample(now, this.model);
    for (const event of events) this.#dispatch(event);
    this.transfers.settle(({ plan }) =>
      this.model.held(plan) ? undefined : false
    );
    if (!this.model.up) return;
    const next = earliest(
      this.model.nextEventAt(),
      this.reports.nextSampleAt(),
    );
    if (next === undefined) return;
    this.#timer = this.#timers.set(
      () => this.pump(),
      this.clock.wallUntil(next),
    );
  }

  #dispatch(event: ModelEvent): void {
    switch (event.type) {
      case "tokens":
        for (const { attempt, index } of event.tokens) {
          this.answers.token(attempt, index);
        }
        return;
      case "done":
      case "error":
        return this.answers.end(event);
      case "transferred":
        return this.transfers.settle(({ plan, direction }) =>
          plan === event.plan && direction === event.direction
            ? true
            : undefined
        );
      case "crashed":
        this.stop();
        return this.#onCrash();
    }
  }

  #ping(): void {
    if (!this.#thaw) this.answers.ping();
  }

  #pause(ms: Millis): Promise<void> {
    const wallMs = this.clock.wallUntil(addMs(this.clock.now(), ms));
    return new Promise((resolve) => setTimeout(resolve, wallMs).unref());
  }
}
