import type { DaemonId, RequestId, UpstreamId } from "../core/id.ts";
import { addMs, type Millis, SECOND_MS, type Timestamp } from "../core/time.ts";
import type { Upstream } from "../board/upstreams_section.ts";
import type { CacheEvent } from "../wire/engine.ts";
import {
  grant,
  refuseFull,
  refuseLate,
  refuseNoUpstream,
  refuseTooLong,
  SHORT_RETRY_MS,
} from "./answers.ts";
import type { Answer, Answered, Ask } from "./ask.ts";
import { openToCopy } from "./copies.ts";
import { CostModel } from "./cost_model.ts";
import { DemandMeter } from "./demand_meter.ts";
import { EngineView } from "./engine_view.ts";
import {
  currentPart,
  delay,
  type Job,
  lastPart,
  leftOf,
  moveEnd,
  partOn,
} from "./job.ts";
import { type LongPlace, placeLong, withDecoder } from "./long_placement.ts";
import { LongQueue } from "./long_queue.ts";
import type { Policy } from "./policy.ts";
import { couldHold } from "./oversized.ts";
import { PrefixIndex } from "./prefix_index.ts";
import { quietEngines } from "./quiet_engines.ts";
import {
  cachedOn,
  chooseDecoder,
  eligible,
  type PlacementView,
  placeShort,
} from "./short_placement.ts";

/** How a placed prompt fares. */
export type JobNews = "first_token" | "ended" | "withdrawn";

/** Time between two looks at the waiting prompts when nothing else happens. */
export const DISPATCH_MS: Millis = 200;
const DEMAND_WINDOW_MS: Millis = 10 * SECOND_MS;
const FIRST_DECODE_MS: Millis = 20 * SECOND_MS;
const DECODE_WEIGHT = 0.05;
/** Time for which a new part may not show in a report yet. */
const CORRECT_MS: Millis = SECOND_MS;
/** Engines of a cell for each that may be kept for shared prefixes. */
const ENGINES_FOR_EACH_KEPT = 8;
/** Engine priority of long prompts; short ones go first. */
const LONG_PRIORITY = 1_000;
/** Time after its deadline at which a job that was never reported as ended is dropped. */
const FORGET_MS: Millis = 5 * SECOND_MS;

/** Places all prompts of a cell; it knows each engine by its reports and by what it sent there. */
export class CellScheduler {
  #policy: Policy;
  readonly #engines = new Map<UpstreamId, EngineView>();
  readonly #jobs = new Map<RequestId, Job>();
  readonly #queue = LongQueue.create();
  readonly #cost = CostModel.create();
  readonly #prefixes = PrefixIndex.create();
  readonly #shortDemand = DemandMeter.create(DEMAND_WINDOW_MS);
  #decodeMs = FIRST_DECODE_MS;
  /** When the waiting prompts are looked at again, unless something changes before. */
  #dispatchAt = 0 as Timestamp;

  private constructor(policy: Policy) {
    this.#policy = policy;
  }

  static create(policy: Policy): CellScheduler {
    return new CellScheduler(policy);
  }

  /** Takes the settings that are in force now. */
  setPolicy(policy: Policy): void {
    this.#policy = policy;
  }

  get queued(): number {
    return this.#queue.size;
  }

  get jobs(): ReadonlyMap<RequestId, Job> {
    return this.#jobs;
  }

  /** Takes in what the daemon knows of the engines. */
  takeUpstreams(upstreams: Iterable<Upstream>): void {
    const engines = [...upstreams].filter(({ kind }) => kind === "engine");
    const seen = new Set(engines.map(({ id }) => id));
    for (const upstream of engines) this.#takeUpstream(upstream);
    const quiet = quietEngines(engines);
    for (const [id, engine] of this.#engines) {
      engine.quiet = quiet.has(id);
      if (!seen.has(id)) this.#forgetEngine(id);
    }
  }

  /** Takes in cache events; they are late and have gaps. */
  takeCacheEvents(engine: UpstreamId, events: readonly CacheEvent[]): void {
    for (const event of events) {
      if (event.type === "stored") {
        this.#prefixes.store(engine, event.blocks);
      } else if (event.type === "evicted") {
        this.#prefixes.evict(engine, event.blocks);
      } else {
        this.#prefixes.clear(engine);
      }
    }
  }

  /** Answers one ask; asking the same again gives the same answer. */
  ask(ask: Ask, now: Timestamp): Answer {
    const known = this.#jobs.get(ask.request);
    if (known !== undefined && known.ask.round === ask.round) {
      return grant(known);
    }
    if (known !== undefined) this.#drop(known, now);
    if (this.#queue.renew(ask, now)) return { type: "queued" };
    const engines = this.#eligible(ask);
    if (engines.length === 0) return this.#askApart(ask, now);
    const view = this.#view(engines, now);
    return this.#isLong(ask, view)
      ? this.#askLong(ask, view)
      : this.#askShort(ask, view);
  }

  /** Takes in how a prompt fares that was given a place here. */
  update(
    request: RequestId,
    news: JobNews,
    options: Readonly<{ round: number; now: Timestamp }>,
  ): void {
    this.#queue.remove(request);
    const job = this.#jobs.get(request);
    if (job === undefined || job.ask.round !== options.round) return;
    if (job.long) this.#dispatchAt = options.now;
    if (news === "first_token") return this.#firstToken(job, options.now);
    if (news === "ended") this.#learnDecode(job, options.now);
    this.#drop(job, options.now);
  }

  /** Gives places to waiting prompts, or gives them up; returns what is new. */
  dispatch(now: Timestamp): readonly Answered[] {
    if (now < this.#dispatchAt) return [];
    this.#dispatchAt = addMs(now, DISPATCH_MS);
    this.#dropOverdue(now);
    const answered: Answered[] = [];
    const slack = (ask: Ask) => this.#slack(ask, now);
    for (const ask of this.#queue.inOrder(slack)) {
      const answer = this.#tryWaiting(ask, now);
      if (answer !== undefined) {
        this.#queue.remove(ask.request);
        answered.push({ ask, answer });
      } else if (
        !ask.suspect && this.#slack(ask, now) < this.#policy.overtakeMs
      ) break;
    }
    return answered;
  }

  /** Takes in that an engine has crashed: nothing runs there any more. */
  engineCrashed(id: UpstreamId): void {
    const engine = this.#engines.get(id);
    if (engine === undefined) return;
    this.#clear(engine);
    engine.live = false;
  }

  /** Drops waiting prompts of a daemon that has gone. */
  dropAsker(from: DaemonId): void {
    this.#queue.dropAsker(from);
  }

  /** Drops what was placed for daemons that are not among the live ones; nobody will say how it ends. */
  keepAskers(live: ReadonlySet<DaemonId>, now: Timestamp): void {
    for (const job of this.#jobs.values()) {
      if (!live.has(job.ask.from)) this.#drop(job, now);
    }
    this.#dispatchAt = now;
  }

  #takeUpstream(upstream: Upstream): void {
    const { id, incarnation } = upstream;
    let engine = this.#engines.get(id);
    if (engine === undefined) {
      engine = EngineView.create(id, incarnation);
      this.#engines.set(id, engine);
    }
    if (engine.incarnation !== incarnation) {
      this.#clear(engine);
      engine.incarnation = incarnation;
      engine.report = undefined;
    }
    engine.live = upstream.state === "live";
    engine.loaded = (upstream.engine ?? upstream.load)?.loaded ?? [];
    if (
      upstream.load?.incarnation === incarnation &&
      engine.takeReport(upstream.load)
    ) this.#correct(engine, upstream.load.at);
  }

  /** Corrects the predicted end of the long prefill on an engine by its report. */
  #correct(engine: EngineView, at: Timestamp): void {
    const left = engine.reportedLeft();
    for (const job of engine.jobs.values()) {
      const part = partOn(job, engine.id);
      if (!job.long || job.firstTokenAt !== undefined) continue;
      if (part === undefined || part.startsAt + CORRECT_MS > at) continue;
      const isCurrent = currentPart(job, at) === part;
      if (left === 0 && !isCurrent) continue;
      const from = Math.max(part.from, part.to - left);
      const factor = part.from === 0 ? 1 : this.#policy.planCostFactor;
      const leftMs = factor * this.#cost.prefillMs(from, part.to);
      moveEnd(job, part, addMs(at, leftMs));
    }
  }

  /** Suspected content runs apart from other such content, and waits for an engine without any. */
  #askApart(ask: Ask, now: Timestamp): Answer {
    if (!this.#waitsApart(ask)) return refuseNoUpstream();
    const limit = this.#policy.queuedPrompts;
    if (!this.#queue.add(ask, { now, limit })) {
      return refuseFull(SHORT_RETRY_MS);
    }
    return { type: "queued" };
  }

  #waitsApart(ask: Ask): boolean {
    const unsuspected = { ...ask, suspect: false };
    return eligible(unsuspected, this.#engines.values()).length > 0;
  }

  #eligible(ask: Ask): readonly EngineView[] {
    const engines = eligible(ask, this.#engines.values());
    return openToCopy(ask, this.#jobs.values(), engines);
  }

  #askShort(ask: Ask, view: PlacementView): Answer {
    const place = placeShort(ask, view);
    if (place === undefined) return refuseFull(SHORT_RETRY_MS);
    if (view.now + place.firstTokenMs > ask.deadlineAt) {
      return refuseLate(place.firstTokenMs);
    }
    const { engine, decoder, cachedTokens, prefillMs, priority } = place;
    const whole = {
      engine: engine.id,
      from: 0,
      to: ask.promptTokens,
      memoryTokens: ask.promptTokens + ask.maxTokens,
      costMs: prefillMs,
      startsAt: view.now,
    };
    const beside = engine.longPrefill(view.now);
    this.#shortDemand.add(prefillMs, view.now);
    const job: Job = {
      ask,
      long: false,
      cachedTokens,
      parts: withDecoder(ask, [whole], decoder),
      placedAt: view.now,
      priority,
      alone: engine.shortBacklogMs(view.now, LONG_PRIORITY) === 0 &&
        beside === undefined,
      firstTokenAt: undefined,
    };
    if (beside !== undefined) delay(beside, prefillMs, view.now);
    this.#place(job);
    return grant(job);
  }

  #askLong(ask: Ask, view: PlacementView): Answer {
    if (!couldHold(ask, view)) return refuseTooLong();
    const waitMs = this.#predictWaitMs(view);
    const left = ask.deadlineAt - view.now;
    const neededMs = waitMs + this.#runMs(ask);
    if (neededMs > left * this.#policy.admissionRatio) {
      return refuseLate(neededMs - left * this.#policy.admissionRatio);
    }
    const limit = this.#policy.queuedPrompts;
    const { now } = view;
    if (!this.#queue.add(ask, { now, limit })) return refuseFull(waitMs);
    this.#dispatchAt = view.now;
    return { type: "queued" };
  }

  /** Work that is ahead of a new long prompt, spread over the engines that may take it. */
  #predictWaitMs(view: PlacementView): Millis {
    let workMs = 0;
    let memoryMs = 0;
    let memory = 0;
    for (const job of this.#jobs.values()) {
      if (!job.long) continue;
      const leftMs = leftOf(job, view.now) + this.#decodeMs;
      workMs += leftMs;
      memoryMs += leftMs * job.ask.promptTokens;
    }
    for (const waiting of this.#queue.asks()) {
      const runMs = this.#runMs(waiting);
      workMs += runMs;
      memoryMs += runMs * waiting.promptTokens;
    }
    for (const engine of openToLong(view.engines, view.shortEngines)) {
      const capacity = engine.report?.kv_capacity_tokens ?? 0;
      memory += Math.max(0, capacity - this.#policy.shortMemoryTokens);
    }
    const lanes = Math.max(
      1,
      view.engines.length - this.#shortTarget(view.now),
    );
    if (lanes > this.#longRunning() && this.#queue.size === 0) return 0;
    const usable = Math.max(1, memory * this.#policy.packingRatio);
    return Math.max(workMs / lanes, memoryMs / usable);
  }

  #tryWaiting(ask: Ask, now: Timestamp): Answer | undefined {
    const engines = this.#eligible(ask);
    if (now + this.#prefillMs(ask) > ask.deadlineAt) return refuseLate(0);
    if (engines.length === 0) {
      return this.#waitsApart(ask) ? undefined : refuseNoUpstream();
    }
    const view = this.#view(engines, now);
    if (!this.#isLong(ask, view)) return this.#askShort(ask, view);
    const target = Math.min(this.#shortTarget(now), engines.length - 1);
    if (this.#longRunning() + target >= engines.length) return undefined;
    const kept = this.#shortEngines(now);
    const open = openToLong(engines, kept);
    const place = placeLong(ask, this.#view(open, now));
    if (place === undefined) return undefined;
    const decoders = engines.filter((engine) => kept.has(engine));
    const decoder = chooseDecoder(ask, this.#view(decoders, now));
    const parts = withDecoder(ask, place.parts, decoder);
    return grant(this.#startLong(ask, { ...place, parts }, now));
  }

  #startLong(ask: Ask, place: LongPlace, now: Timestamp): Job {
    const job: Job = {
      ask,
      long: true,
      cachedTokens: place.cachedTokens,
      parts: place.parts,
      placedAt: now,
      priority: LONG_PRIORITY,
      alone: place.parts.filter((part) => part.costMs > 0).length === 1,
      firstTokenAt: undefined,
    };
    this.#place(job);
    return job;
  }

  #place(job: Job): void {
    this.#jobs.set(job.ask.request, job);
    for (const part of job.parts) {
      const engine = this.#engines.get(part.engine);
      if (engine === undefined) continue;
      engine.jobs.set(job.ask.request, job);
      if (!job.long) this.#prefixes.store(engine.id, job.ask.blocks);
    }
  }

  #firstToken(job: Job, now: Timestamp): void {
    if (job.firstTokenAt !== undefined) return;
    job.firstTokenAt = now;
    const engine = this.#engines.get(lastPart(job).engine);
    if (engine !== undefined && !job.long) engine.shortDoneAt = now;
    if (!job.alone) return;
    this.#cost.observe(
      job.cachedTokens,
      job.ask.promptTokens,
      now - job.placedAt,
    );
  }

  #learnDecode(job: Job, now: Timestamp): void {
    if (!job.long || job.firstTokenAt === undefined) return;
    this.#decodeMs += DECODE_WEIGHT *
      (now - job.firstTokenAt - this.#decodeMs);
  }

  #drop(job: Job, now: Timestamp): void {
    this.#jobs.delete(job.ask.request);
    for (const part of job.parts) {
      this.#engines.get(part.engine)?.remove(job, now);
    }
  }

  #dropOverdue(now: Timestamp): void {
    for (const job of this.#jobs.values()) {
      if (now > job.ask.deadlineAt + FORGET_MS) this.#drop(job, now);
    }
    this.#queue.dropSilent(now);
  }

  #clear(engine: EngineView): void {
    for (const job of [...engine.jobs.values()]) {
      this.#drop(job, 0 as Timestamp);
    }
    this.#prefixes.clear(engine.id);
    engine.strangePrefillTokens = 0;
    engine.strangeMemoryTokens = 0;
  }

  #forgetEngine(id: UpstreamId): void {
    const engine = this.#engines.get(id);
    if (engine !== undefined) this.#clear(engine);
    this.#engines.delete(id);
  }

  #isLong(ask: Ask, view: PlacementView): boolean {
    let cached = 0;
    if (ask.promptTokens <= this.#policy.longPromptTokens) return false;
    for (const engine of view.engines) {
      cached = Math.max(cached, cachedOn(ask, engine, view.prefixes));
    }
    return ask.promptTokens - cached > this.#policy.longPromptTokens;
  }

  /** Engines that are kept for short prompts now. */
  #shortTarget(now: Timestamp): number {
    const { shortUtilization } = this.#policy;
    const demanded = this.#shortDemand.engines(now) / shortUtilization;
    return this.#prefixEngines() + Math.ceil(demanded);
  }

  /** A small cell keeps no engine for shared prefixes alone. */
  #prefixEngines(): number {
    const { shortEngines } = this.#policy;
    const most = Math.floor(this.#engines.size / ENGINES_FOR_EACH_KEPT);
    return Math.min(shortEngines, most);
  }

  /** All engines while there is no long prompt to keep any of them for. */
  #shortEngines(now: Timestamp): ReadonlySet<EngineView> {
    const isIdle = this.#longRunning() === 0 && this.#queue.size === 0;
    return this.#firstEngines(isIdle ? Infinity : this.#shortTarget(now));
  }

  #firstEngines(count: number): ReadonlySet<EngineView> {
    const live = [...this.#engines.values()].filter((one) => one.live);
    return new Set(live.slice(0, count));
  }

  #longRunning(): number {
    let count = 0;
    for (const job of this.#jobs.values()) {
      if (job.long && job.firstTokenAt === undefined) count += 1;
    }
    return count;
  }

  #prefillMs(ask: Ask): Millis {
    return this.#cost.prefillMs(0, ask.promptTokens);
  }

  #runMs(ask: Ask): Millis {
    return this.#prefillMs(ask) + this.#decodeMs;
  }

  /** Time that a prompt may still wait. */
  #slack(ask: Ask, now: Timestamp): Millis {
    return ask.deadlineAt - now - this.#runMs(ask);
  }

  #view(engines: readonly EngineView[], now: Timestamp): PlacementView {
    return {
      now,
      engines,
      policy: this.#policy,
      cost: this.#cost,
      prefixes: this.#prefixes,
      prefixEngines: this.#firstEngines(this.#prefixEngines()),
      shortEngines: this.#shortEngines(now),
    };
  }
}

/** Engines that are not kept for short prompts; one at least, so that a small fleet serves long ones too. */
function openToLong(
  engines: readonly EngineView[],
  kept: ReadonlySet<EngineView>,
): readonly EngineView[] {
  const open = engines.filter((engine) => !kept.has(engine));
  return open.length > 0 ? open : engines.slice(-1);
}
