import type { DaemonId, RequestId } from "../core/id.ts";
import { addMs, type Millis, SECOND_MS, type Timestamp } from "../core/time.ts";
import {
  grant,
  refuseFull,
  refuseLate,
  refuseNoUpstream,
  refuseTooLong,
  SHORT_RETRY_MS,
} from "./answers.ts";
import type { Answer, Answered, Ask } from "./ask.ts";
import { CellAccounts } from "./cell_accounts.ts";
import { openToCopy } from "./copies.ts";
import { EngineView } from "./engine_view.ts";
import { delay, type Job, lastPart, leftOf } from "./job.ts";
import { KeptEngines, openToLong } from "./kept_engines.ts";
import { type LongPlace, placeLong, withDecoder } from "./long_placement.ts";
import { LongQueue } from "./long_queue.ts";
import type { Policy } from "./policy.ts";
import { couldHold } from "./oversized.ts";
import {
  cachedOn,
  chooseDecoder,
  eligible,
  type PlacementView,
  placeShort,
} from "./short_placement.ts";

/** How a placed prompt fares. */
export type JobEvent = "first_token" | "ended" | "withdrawn";

/** Time between two looks at the waiting prompts when nothing else happens. */
export const DISPATCH_MS: Millis = 200;
const FIRST_DECODE_MS: Millis = 20 * SECOND_MS;
const DECODE_WEIGHT = 0.05;
/** Engine priority of long prompts; short ones go first. */
const LONG_PRIORITY = 1_000;
/** Time after its deadline at which a job that was never reported as ended is dropped. */
const FORGET_MS: Millis = 5 * SECOND_MS;

/** Places all prompts of a cell; it knows each engine by its reports and by what it sent there. */
export class CellScheduler {
  readonly accounts: CellAccounts;
  readonly #kept: KeptEngines;
  readonly #queue = LongQueue.create();
  #decodeMs = FIRST_DECODE_MS;
  /** When the waiting prompts are looked at again, unless something changes before. */
  #dispatchAt = 0 as Timestamp;

  private constructor(policy: Policy) {
    this.accounts = CellAccounts.create(policy);
    this.#kept = KeptEngines.create(this.accounts);
  }

  static create(policy: Policy): CellScheduler {
    return new CellScheduler(policy);
  }

  /** Takes the settings that are in force now. */
  setPolicy(policy: Policy): void {
    this.accounts.policy = policy;
  }

  get queued(): number {
    return this.#queue.size;
  }

  /** Answers one ask; asking the same again gives the same answer. */
  ask(ask: Ask, now: Timestamp): Answer {
    const known = this.accounts.jobs.get(ask.request);
    if (known !== undefined && known.ask.round === ask.round) {
      return grant(known);
    }
    if (known !== undefined) this.accounts.drop(known, now);
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
    update: JobEvent,
    options: Readonly<{ round: number; now: Timestamp }>,
  ): void {
    this.#queue.remove(request);
    const job = this.accounts.jobs.get(request);
    if (job === undefined || job.ask.round !== options.round) return;
    if (job.long) this.#dispatchAt = options.now;
    if (update === "first_token") return this.#firstToken(job, options.now);
    if (update === "ended") this.#learnDecode(job, options.now);
    this.accounts.drop(job, options.now);
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
        !ask.suspect && this.#slack(ask, now) < this.accounts.policy.overtakeMs
      ) break;
    }
    return answered;
  }

  /** Drops waiting prompts of a daemon that has gone. */
  dropAsker(from: DaemonId): void {
    this.#queue.dropAsker(from);
  }

  /** Drops what was placed for daemons that are not among the live ones; nobody will say how it ends. */
  keepAskers(live: ReadonlySet<DaemonId>, now: Timestamp): void {
    for (const job of this.accounts.jobs.values()) {
      if (!live.has(job.ask.from)) this.accounts.drop(job, now);
    }
    this.#dispatchAt = now;
  }

  /** Suspected content runs apart from other such content, and waits for an engine without any. */
  #askApart(ask: Ask, now: Timestamp): Answer {
    if (!this.#waitsApart(ask)) return refuseNoUpstream();
    const limit = this.accounts.policy.queuedPrompts;
    if (!this.#queue.add(ask, { now, limit })) {
      return refuseFull(SHORT_RETRY_MS);
    }
    return { type: "queued" };
  }

  #waitsApart(ask: Ask): boolean {
    const unsuspected = { ...ask, suspect: false };
    return eligible(unsuspected, this.accounts.engines.values()).length > 0;
  }

  #eligible(ask: Ask): readonly EngineView[] {
    const engines = eligible(ask, this.accounts.engines.values());
    return openToCopy(ask, this.accounts.jobs.values(), engines);
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
    this.#kept.add(prefillMs, view.now);
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
    this.accounts.place(job);
    return grant(job);
  }

  #askLong(ask: Ask, view: PlacementView): Answer {
    if (!couldHold(ask, view)) return refuseTooLong();
    const waitMs = this.#predictWaitMs(view);
    const left = ask.deadlineAt - view.now;
    const neededMs = waitMs + this.#runMs(ask);
    if (neededMs > left * this.accounts.policy.admissionRatio) {
      return refuseLate(neededMs - left * this.accounts.policy.admissionRatio);
    }
    const limit = this.accounts.policy.queuedPrompts;
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
    for (const job of this.accounts.jobs.values()) {
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
      memory += Math.max(0, capacity - this.accounts.policy.shortMemoryTokens);
    }
    const lanes = Math.max(
      1,
      view.engines.length - this.#kept.target(view.now),
    );
    if (lanes > this.#kept.longRunning() && this.#queue.size === 0) return 0;
    const usable = Math.max(1, memory * this.accounts.policy.packingRatio);
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
    const target = Math.min(this.#kept.target(now), engines.length - 1);
    if (this.#kept.longRunning() + target >= engines.length) return undefined;
    const kept = this.#kept.engines(now, this.#queue.size);
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
    this.accounts.place(job);
    return job;
  }

  #firstToken(job: Job, now: Timestamp): void {
    if (job.firstTokenAt !== undefined) return;
    job.firstTokenAt = now;
    const engine = this.accounts.engines.get(lastPart(job).engine);
    if (engine !== undefined && !job.long) engine.shortDoneAt = now;
    if (!job.alone) return;
    this.accounts.cost.observe(
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

  #dropOverdue(now: Timestamp): void {
    for (const job of this.accounts.jobs.values()) {
      if (now > job.ask.deadlineAt + FORGET_MS) this.accounts.drop(job, now);
    }
    this.#queue.dropSilent(now);
  }

  #isLong(ask: Ask, view: PlacementView): boolean {
    let cached = 0;
    if (ask.promptTokens <= this.accounts.policy.longPromptTokens) return false;
    for (const engine of view.engines) {
      cached = Math.max(cached, cachedOn(ask, engine, view.prefixes));
    }
    return ask.promptTokens - cached > this.accounts.policy.longPromptTokens;
  }

  #prefillMs(ask: Ask): Millis {
    return this.accounts.cost.prefillMs(0, ask.promptTokens);
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
      policy: this.accounts.policy,
      cost: this.accounts.cost,
      prefixes: this.accounts.prefixes,
      prefixEngines: this.#kept.prefixEngines(),
      shortEngines: this.#kept.engines(now, this.#queue.size),
    };
  }
}
