import type { Upstream } from "../board/upstreams_section.ts";
import type { RequestId, UpstreamId } from "../core/id.ts";
import { addMs, type Millis, SECOND_MS, type Timestamp } from "../core/time.ts";
import type { CacheEvent } from "../wire/engine.ts";
import type { CellPlacementRequest } from "./cell_placement.ts";
import { CostModel } from "./cost_model.ts";
import { EngineView } from "./engine_view.ts";
import { currentPart, type Job, movePartEnd, partOn } from "./job.ts";
import type { Policy } from "./policy.ts";
import { PrefixIndex } from "./prefix_index.ts";
import { unresponsiveEngines } from "./unresponsive_engines.ts";

/** Time after its start for which a part may be missing from load reports. */
const REPORT_DELAY_MS: Millis = SECOND_MS;

/** Tracks the engines of a cell and the jobs that are placed on them. */
export class CellJobTracker {
  readonly cost = CostModel.create();
  readonly prefixes = PrefixIndex.create();
  readonly #engines = new Map<UpstreamId, EngineView>();
  readonly #jobs = new Map<RequestId, Job>();
  /** Placement settings in force. */
  policy: Policy;

  private constructor(policy: Policy) {
    this.policy = policy;
  }

  static create(policy: Policy): CellJobTracker {
    return new CellJobTracker(policy);
  }

  get engines(): ReadonlyMap<UpstreamId, EngineView> {
    return this.#engines;
  }

  get jobs(): ReadonlyMap<RequestId, Job> {
    return this.#jobs;
  }

  /** Updates the engines from the upstream table; removes those that are no longer listed. */
  applyUpstreams(upstreams: Iterable<Upstream>): void {
    const engines = [...upstreams].filter(({ kind }) => kind === "engine");
    const listed = new Set(engines.map(({ id }) => id));
    for (const upstream of engines) this.#applyUpstream(upstream);
    const unresponsive = unresponsiveEngines(engines);
    for (const [id, engine] of this.#engines) {
      engine.unresponsive = unresponsive.has(id);
      if (!listed.has(id)) this.#removeEngine(id);
    }
  }

  /** Applies an engine's cache events to the prefix index; events may be late or missing. */
  applyCacheEvents(engine: UpstreamId, events: readonly CacheEvent[]): void {
    for (const event of events) {
      if (event.type === "stored") {
        this.prefixes.store(engine, event.blocks);
      } else if (event.type === "evicted") {
        this.prefixes.evict(engine, event.blocks);
      } else {
        this.prefixes.clear(engine);
      }
    }
  }

  /** Marks a crashed engine as not live, and removes its jobs. */
  recordCrash(id: UpstreamId): void {
    const engine = this.#engines.get(id);
    if (engine === undefined) return;
    this.#resetEngine(engine);
    engine.live = false;
  }

  /** Marks the running jobs whose content has become suspect. */
  markSuspects(isSuspect: (ask: CellPlacementRequest) => boolean): void {
    for (const job of this.#jobs.values()) {
      job.becameSuspect = isSuspect(job.ask);
    }
  }

  /** Adds a job that was just placed. */
  add(job: Job): void {
    this.#jobs.set(job.ask.request, job);
    for (const part of job.parts) {
      const engine = this.#engines.get(part.engine);
      if (engine === undefined) continue;
      engine.jobs.set(job.ask.request, job);
      if (!job.long) this.prefixes.store(engine.id, job.ask.blocks);
    }
  }

  /** Removes a job that has ended, was withdrawn or lost its engine. */
  remove(job: Job, now: Timestamp): void {
    this.#jobs.delete(job.ask.request);
    for (const part of job.parts) {
      this.#engines.get(part.engine)?.remove(job, now);
    }
  }

  #applyUpstream(upstream: Upstream): void {
    const { id, incarnation } = upstream;
    let engine = this.#engines.get(id);
    if (engine === undefined) {
      engine = EngineView.create(id, incarnation);
      this.#engines.set(id, engine);
    }
    if (engine.incarnation !== incarnation) {
      this.#resetEngine(engine);
      engine.incarnation = incarnation;
      engine.report = undefined;
    }
    engine.live = upstream.state === "live";
    engine.loaded = (upstream.engine ?? upstream.load)?.loaded ?? [];
    if (
      upstream.load?.incarnation === incarnation &&
      engine.applyReport(upstream.load)
    ) this.#correctPrefillEnd(engine, upstream.load.at);
  }

  /** Moves the predicted end of a long prefill to the one that the engine's report implies. */
  #correctPrefillEnd(engine: EngineView, at: Timestamp): void {
    const remainingTokens = engine.reportedRemainingTokens();
    for (const job of engine.jobs.values()) {
      const part = partOn(job, engine.id);
      if (!job.long || job.firstTokenAt !== undefined) continue;
      if (part === undefined || part.startsAt + REPORT_DELAY_MS > at) continue;
      const isCurrent = currentPart(job, at) === part;
      if (remainingTokens === 0 && !isCurrent) continue;
      const from = Math.max(part.from, part.to - remainingTokens);
      const factor = part.from === 0 ? 1 : this.policy.planCostFactor;
      const remainingMs = factor * this.cost.prefillMs(from, part.to);
      movePartEnd(job, part, addMs(at, remainingMs));
    }
  }

  #resetEngine(engine: EngineView): void {
    for (const job of [...engine.jobs.values()]) {
      this.remove(job, 0 as Timestamp);
    }
    this.prefixes.clear(engine.id);
    engine.externalPrefillTokens = 0;
    engine.externalMemoryTokens = 0;
  }

  #removeEngine(id: UpstreamId): void {
    const engine = this.#engines.get(id);
    if (engine !== undefined) this.#resetEngine(engine);
    this.#engines.delete(id);
  }
}
