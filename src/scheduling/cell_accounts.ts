import type { Upstream } from "../board/upstreams_section.ts";
import type { RequestId, UpstreamId } from "../core/id.ts";
import { addMs, type Millis, SECOND_MS, type Timestamp } from "../core/time.ts";
import type { CacheEvent } from "../wire/engine.ts";
import { CostModel } from "./cost_model.ts";
import { EngineView } from "./engine_view.ts";
import { currentPart, type Job, moveEnd, partOn } from "./job.ts";
import type { Policy } from "./policy.ts";
import { PrefixIndex } from "./prefix_index.ts";
import { quietEngines } from "./quiet_engines.ts";

/** Time for which a new part may not show in a report yet. */
const CORRECT_MS: Millis = SECOND_MS;

/** What is known of a cell's engines, and of the prompts that were placed on them. */
export class CellAccounts {
  readonly cost = CostModel.create();
  readonly prefixes = PrefixIndex.create();
  readonly #engines = new Map<UpstreamId, EngineView>();
  readonly #jobs = new Map<RequestId, Job>();
  /** The settings that are in force now. */
  policy: Policy;

  private constructor(policy: Policy) {
    this.policy = policy;
  }

  static create(policy: Policy): CellAccounts {
    return new CellAccounts(policy);
  }

  get engines(): ReadonlyMap<UpstreamId, EngineView> {
    return this.#engines;
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
        this.prefixes.store(engine, event.blocks);
      } else if (event.type === "evicted") {
        this.prefixes.evict(engine, event.blocks);
      } else {
        this.prefixes.clear(engine);
      }
    }
  }

  /** Removes what ran on an engine that has crashed. */
  engineCrashed(id: UpstreamId): void {
    const engine = this.#engines.get(id);
    if (engine === undefined) return;
    this.#clear(engine);
    engine.live = false;
  }

  /** Takes in a prompt that has been given a place. */
  place(job: Job): void {
    this.#jobs.set(job.ask.request, job);
    for (const part of job.parts) {
      const engine = this.#engines.get(part.engine);
      if (engine === undefined) continue;
      engine.jobs.set(job.ask.request, job);
      if (!job.long) this.prefixes.store(engine.id, job.ask.blocks);
    }
  }

  /** Takes a prompt out that has ended or lost its place. */
  drop(job: Job, now: Timestamp): void {
    this.#jobs.delete(job.ask.request);
    for (const part of job.parts) {
      this.#engines.get(part.engine)?.remove(job, now);
    }
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
      const factor = part.from === 0 ? 1 : this.policy.planCostFactor;
      const leftMs = factor * this.cost.prefillMs(from, part.to);
      moveEnd(job, part, addMs(at, leftMs));
    }
  }

  #clear(engine: EngineView): void {
    for (const job of [...engine.jobs.values()]) {
      this.drop(job, 0 as Timestamp);
    }
    this.prefixes.clear(engine.id);
    engine.strangePrefillTokens = 0;
    engine.strangeMemoryTokens = 0;
  }

  #forgetEngine(id: UpstreamId): void {
    const engine = this.#engines.get(id);
    if (engine !== undefined) this.#clear(engine);
    this.#engines.delete(id);
  }
}
