import type { DaemonId, RequestId } from "../core/id.ts";
import { addMs, type Millis, SECOND_MS, type Timestamp } from "../core/time.ts";
import {
  grant,
  MIN_RETRY_AFTER_MS,
  refuseFull,
  refuseLate,
  refuseNoUpstream,
  refuseTooLong,
} from "./placement_results.ts";
import type {
  CellPlacementDecision,
  CellPlacementRequest,
  CellPlacementResult,
  GateDecision,
} from "./cell_placement.ts";
import { CellJobTracker } from "./cell_job_tracker.ts";
import { enginesForCopy } from "./copies.ts";
import { EngineView } from "./engine_view.ts";
import { delayPrefill, type Job, lastPart, remainingPrefillMs } from "./job.ts";
import { enginesForLong, ReservedEngines } from "./reserved_engines.ts";
import {
  type LongPlacement,
  placeLong,
  withDecoder,
} from "./long_placement.ts";
import { LongQueue } from "./long_queue.ts";
import type { Policy } from "./policy.ts";
import { couldHold } from "./oversized.ts";
import {
  cachedTokensOn,
  chooseDecoder,
  eligibleEngines,
  type PlacementView,
  placeShort,
} from "./short_placement.ts";

/** Progress of a placed prompt, reported by the daemon that serves it. */
export type JobEvent = "first_token" | "ended" | "withdrawn";

/** Longest time between two dispatches of the queue. */
export const DISPATCH_MS: Millis = 200;
/** Mean decode time of a long prompt, assumed before one has been measured. */
const INITIAL_DECODE_MS: Millis = 20 * SECOND_MS;
/** Weight of each new sample in the moving mean of decode times. */
const DECODE_SMOOTHING = 0.05;
/** Engine priority of long prompts; lower runs first, so short prompts precede them. */
const LONG_PRIORITY = 1_000;
/** Time past its deadline after which a job is removed even though its end was not reported. */
const GRACE_MS: Millis = 5 * SECOND_MS;

/** Places all prompts of a cell, from the load reports of its engines and the jobs already placed on them. */
export class CellScheduler {
  readonly tracker: CellJobTracker;
  readonly #reserved: ReservedEngines;
  readonly #queue = LongQueue.create();
  #meanDecodeMs = INITIAL_DECODE_MS;
  /** Earliest time of the next dispatch; set to now by a change that may free an engine. */
  #dispatchAt = 0 as Timestamp;

  private constructor(policy: Policy) {
    this.tracker = CellJobTracker.create(policy);
    this.#reserved = ReservedEngines.create(this.tracker);
  }

  static create(policy: Policy): CellScheduler {
    return new CellScheduler(policy);
  }

  /** Sets the policy of the configuration in force. */
  setPolicy(policy: Policy): void {
    this.tracker.policy = policy;
  }

  get queueSize(): number {
    return this.#queue.size;
  }

  /** Places, queues or refuses one prompt; the same round submitted again gives the same result. */
  submit(ask: CellPlacementRequest, now: Timestamp): CellPlacementResult {
    const known = this.tracker.jobs.get(ask.request);
    if (known !== undefined && known.ask.round === ask.round) {
      return grant(known);
    }
    if (known !== undefined) this.tracker.remove(known, now);
    if (this.#queue.renew(ask, now)) return { type: "queued" };
    const engines = this.#eligible(ask);
    if (engines.length === 0) return this.#queueOrRefuse(ask, now);
    const view = this.#view(engines, now);
    return this.#isLong(ask, view)
      ? this.#submitLong(ask, view)
      : this.#submitShort(ask, view);
  }

  /** Applies a progress report; reports of other rounds than the placed one are ignored. */
  update(
    request: RequestId,
    update: JobEvent,
    options: Readonly<{ round: number; now: Timestamp }>,
  ): void {
    this.#queue.remove(request);
    const job = this.tracker.jobs.get(request);
    if (job === undefined || job.ask.round !== options.round) return;
    if (job.long) this.#dispatchAt = options.now;
    if (update === "first_token") return this.#onFirstToken(job, options.now);
    if (update === "ended") this.#updateMeanDecode(job, options.now);
    this.tracker.remove(job, options.now);
  }

  /** Tries to place the queued prompts that `gate` lets run; returns those that were placed or refused. */
  dispatch(
    now: Timestamp,
    gate: (ask: CellPlacementRequest) => GateDecision = letRun,
  ): readonly CellPlacementDecision[] {
    if (now < this.#dispatchAt) return [];
    this.#dispatchAt = addMs(now, DISPATCH_MS);
    this.#dropOverdue(now);
    const answered: CellPlacementDecision[] = [];
    const slackOf = (ask: CellPlacementRequest) => this.#slack(ask, now);
    for (const queued of this.#queue.bySlack(slackOf)) {
      const gated = gate(queued);
      if (gated.type === "queued") continue;
      const ask = gated.type === "run" ? gated.ask : queued;
      const answer = gated.type === "run" ? this.#tryPlace(ask, now) : gated;
      if (answer !== undefined) {
        this.#queue.remove(ask.request);
        answered.push({ ask, answer });
      } else if (
        !ask.suspect && this.#slack(ask, now) < this.tracker.policy.overtakeMs
      ) break;
    }
    return answered;
  }

  /** Removes the queued prompts of a daemon that can't be reached. */
  dropQueuedOf(from: DaemonId): void {
    this.#queue.removeDaemon(from);
  }

  /** Removes the jobs of all daemons but the live ones, because their ends will not be reported. */
  retainDaemons(live: ReadonlySet<DaemonId>, now: Timestamp): void {
    for (const job of this.tracker.jobs.values()) {
      if (!live.has(job.ask.from)) this.tracker.remove(job, now);
    }
    this.#dispatchAt = now;
  }

  /** Queues a prompt that other suspected content or copies of its own content keep from all capable engines. */
  #queueOrRefuse(
    ask: CellPlacementRequest,
    now: Timestamp,
  ): CellPlacementResult {
    if (!this.#hasCapableEngine(ask)) return refuseNoUpstream();
    const limit = this.tracker.policy.queuedPrompts;
    if (!this.#queue.add(ask, { now, limit })) {
      return refuseFull(MIN_RETRY_AFTER_MS);
    }
    return { type: "queued" };
  }

  #hasCapableEngine(ask: CellPlacementRequest): boolean {
    const unsuspected = { ...ask, suspect: false };
    return eligibleEngines(unsuspected, this.tracker.engines.values()).length >
      0;
  }

  #eligible(ask: CellPlacementRequest): readonly EngineView[] {
    const engines = eligibleEngines(ask, this.tracker.engines.values());
    return enginesForCopy(ask, this.tracker.jobs.values(), engines);
  }

  #submitShort(
    ask: CellPlacementRequest,
    view: PlacementView,
  ): CellPlacementResult {
    const placement = placeShort(ask, view);
    if (placement === undefined) return refuseFull(MIN_RETRY_AFTER_MS);
    if (view.now + placement.firstTokenMs > ask.deadlineAt) {
      return refuseLate(placement.firstTokenMs);
    }
    const { engine, decoder, cachedTokens, prefillMs, priority } = placement;
    const prefillPart = {
      engine: engine.id,
      from: 0,
      to: ask.promptTokens,
      memoryTokens: ask.promptTokens + ask.maxTokens,
      costMs: prefillMs,
      startsAt: view.now,
    };
    const longJob = engine.longPrefillJob(view.now);
    this.#reserved.recordShortPrefill(prefillMs, view.now);
    const job: Job = {
      ask,
      long: false,
      cachedTokens,
      parts: withDecoder(ask, [prefillPart], decoder),
      placedAt: view.now,
      priority,
      prefillsAlone: engine.shortBacklogMs(view.now, LONG_PRIORITY) === 0 &&
        longJob === undefined,
      firstTokenAt: undefined,
    };
    if (longJob !== undefined) delayPrefill(longJob, prefillMs, view.now);
    this.tracker.add(job);
    return grant(job);
  }

  #submitLong(
    ask: CellPlacementRequest,
    view: PlacementView,
  ): CellPlacementResult {
    if (!couldHold(ask, view)) return refuseTooLong();
    const waitMs = this.#predictWaitMs(view);
    const remainingMs = ask.deadlineAt - view.now;
    const neededMs = waitMs + this.#runMs(ask);
    if (neededMs > remainingMs * this.tracker.policy.admissionRatio) {
      return refuseLate(
        neededMs - remainingMs * this.tracker.policy.admissionRatio,
      );
    }
    const limit = this.tracker.policy.queuedPrompts;
    const { now } = view;
    if (!this.#queue.add(ask, { now, limit })) return refuseFull(waitMs);
    this.#dispatchAt = view.now;
    return { type: "queued" };
  }

  /** Predicted wait of a new long prompt: the long work ahead, limited by engine time or by memory. */
  #predictWaitMs(view: PlacementView): Millis {
    let workMs = 0;
    let memoryTokenMs = 0;
    let memoryTokens = 0;
    for (const job of this.tracker.jobs.values()) {
      if (!job.long) continue;
      const remainingMs = remainingPrefillMs(job, view.now) +
        this.#meanDecodeMs;
      workMs += remainingMs;
      memoryTokenMs += remainingMs * job.ask.promptTokens;
    }
    for (const request of this.#queue.requests()) {
      const runMs = this.#runMs(request);
      workMs += runMs;
      memoryTokenMs += runMs * request.promptTokens;
    }
    for (const engine of enginesForLong(view.engines, view.shortEngines)) {
      const capacity = engine.report?.kv_capacity_tokens ?? 0;
      memoryTokens += Math.max(
        0,
        capacity - this.tracker.policy.shortMemoryTokens,
      );
    }
    const longEngines = Math.max(
      1,
      view.engines.length - this.#reserved.targetCount(view.now),
    );
    if (
      longEngines > this.#reserved.longCount() && this.#queue.size === 0
    ) return 0;
    const usableTokens = Math.max(
      1,
      memoryTokens * this.tracker.policy.packingRatio,
    );
    return Math.max(workMs / longEngines, memoryTokenMs / usableTokens);
  }

  #tryPlace(
    ask: CellPlacementRequest,
    now: Timestamp,
  ): CellPlacementResult | undefined {
    const engines = this.#eligible(ask);
    if (now + this.#prefillMs(ask) > ask.deadlineAt) return refuseLate(0);
    if (engines.length === 0) {
      return this.#hasCapableEngine(ask) ? undefined : refuseNoUpstream();
    }
    const view = this.#view(engines, now);
    if (!this.#isLong(ask, view)) return this.#submitShort(ask, view);
    const target = Math.min(
      this.#reserved.targetCount(now),
      engines.length - 1,
    );
    if (this.#reserved.longCount() + target >= engines.length) return undefined;
    const reserved = this.#reserved.engines(now, this.#queue.size);
    const longEngines = enginesForLong(engines, reserved);
    const placement = placeLong(ask, this.#view(longEngines, now));
    if (placement === undefined) return undefined;
    const decoders = engines.filter((engine) => reserved.has(engine));
    const decoder = chooseDecoder(ask, this.#view(decoders, now));
    const parts = withDecoder(ask, placement.parts, decoder);
    return grant(this.#startLong(ask, { ...placement, parts }, now));
  }

  #startLong(
    ask: CellPlacementRequest,
    placement: LongPlacement,
    now: Timestamp,
  ): Job {
    const job: Job = {
      ask,
      long: true,
      cachedTokens: placement.cachedTokens,
      parts: placement.parts,
      placedAt: now,
      priority: LONG_PRIORITY,
      prefillsAlone:
        placement.parts.filter((part) => part.costMs > 0).length === 1,
      firstTokenAt: undefined,
    };
    this.tracker.add(job);
    return job;
  }

  #onFirstToken(job: Job, now: Timestamp): void {
    if (job.firstTokenAt !== undefined) return;
    job.firstTokenAt = now;
    const engine = this.tracker.engines.get(lastPart(job).engine);
    if (engine !== undefined && !job.long) engine.lastShortPrefillEndAt = now;
    if (!job.prefillsAlone) return;
    this.tracker.cost.observe(
      job.cachedTokens,
      job.ask.promptTokens,
      now - job.placedAt,
    );
  }

  #updateMeanDecode(job: Job, now: Timestamp): void {
    if (!job.long || job.firstTokenAt === undefined) return;
    this.#meanDecodeMs += DECODE_SMOOTHING *
      (now - job.firstTokenAt - this.#meanDecodeMs);
  }

  #dropOverdue(now: Timestamp): void {
    for (const job of this.tracker.jobs.values()) {
      if (now > job.ask.deadlineAt + GRACE_MS) this.tracker.remove(job, now);
    }
    this.#queue.removeExpired(now);
  }

  #isLong(ask: CellPlacementRequest, view: PlacementView): boolean {
    let cached = 0;
    if (ask.promptTokens <= this.tracker.policy.longPromptTokens) return false;
    for (const engine of view.engines) {
      cached = Math.max(cached, cachedTokensOn(ask, engine, view.prefixes));
    }
    return ask.promptTokens - cached > this.tracker.policy.longPromptTokens;
  }

  #prefillMs(ask: CellPlacementRequest): Millis {
    return this.tracker.cost.prefillMs(0, ask.promptTokens);
  }

  #runMs(ask: CellPlacementRequest): Millis {
    return this.#prefillMs(ask) + this.#meanDecodeMs;
  }

  /** Longest time that a prompt may still wait and be expected to meet its deadline. */
  #slack(ask: CellPlacementRequest, now: Timestamp): Millis {
    return ask.deadlineAt - now - this.#runMs(ask);
  }

  #view(engines: readonly EngineView[], now: Timestamp): PlacementView {
    return {
      now,
      engines,
      policy: this.tracker.policy,
      cost: this.tracker.cost,
      prefixes: this.tracker.prefixes,
      prefixEngines: this.#reserved.prefixEngines(),
      shortEngines: this.#reserved.engines(now, this.#queue.size),
    };
  }
}

function letRun(ask: CellPlacementRequest): GateDecision {
  return { type: "run", ask };
}
