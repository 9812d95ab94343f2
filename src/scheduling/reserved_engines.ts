import { type Millis, SECOND_MS, type Timestamp } from "../core/time.ts";
import type { CellJobTracker } from "./cell_job_tracker.ts";
import { DemandMeter } from "./demand_meter.ts";
import type { EngineView } from "./engine_view.ts";

/** Time constant of the mean demand of short prompts. */
const DEMAND_WINDOW_MS: Millis = 10 * SECOND_MS;
/** Engines that a cell must have for each engine reserved for shared prefixes. */
const ENGINES_PER_PREFIX_ENGINE = 8;

/** Selects the engines that are reserved for short prompts, by the recent demand of short prompts. */
export class ReservedEngines {
  readonly #tracker: CellJobTracker;
  readonly #demand = DemandMeter.create(DEMAND_WINDOW_MS);

  private constructor(accounts: CellJobTracker) {
    this.#tracker = accounts;
  }

  static create(tracker: CellJobTracker): ReservedEngines {
    return new ReservedEngines(tracker);
  }

  /** Adds the prefill time of a short prompt that was placed to the demand. */
  recordShortPrefill(prefillMs: Millis, now: Timestamp): void {
    this.#demand.add(prefillMs, now);
  }

  /** Number of engines to reserve for short prompts now. */
  targetCount(now: Timestamp): number {
    const { shortUtilization } = this.#tracker.policy;
    const demanded = this.#demand.busyEngines(now) / shortUtilization;
    return this.#prefixEngineCount() + Math.ceil(demanded);
  }

  /** Engines reserved for prompts with long shared prefixes. */
  prefixEngines(): ReadonlySet<EngineView> {
    return this.#firstEngines(this.#prefixEngineCount());
  }

  /** 0 in a small cell, which can't spare an engine for shared prefixes. */
  #prefixEngineCount(): number {
    const { shortEngines } = this.#tracker.policy;
    const maxCount = Math.floor(
      this.#tracker.engines.size / ENGINES_PER_PREFIX_ENGINE,
    );
    return Math.min(shortEngines, maxCount);
  }

  /** The reserved engines; all live ones while no long prompt is queued or in prefill. */
  engines(now: Timestamp, queued: number): ReadonlySet<EngineView> {
    const isIdle = this.longCount() === 0 && queued === 0;
    return this.#firstEngines(isIdle ? Infinity : this.targetCount(now));
  }

  #firstEngines(count: number): ReadonlySet<EngineView> {
    const live = [...this.#tracker.engines.values()].filter((engine) =>
      engine.live
    );
    return new Set(live.slice(0, count));
  }

  /** Number of placed long prompts without a first token. */
  longCount(): number {
    let count = 0;
    for (const job of this.#tracker.jobs.values()) {
      if (job.long && job.firstTokenAt === undefined) count += 1;
    }
    return count;
  }
}

/** Returns the engines that are not reserved; else the last one, so that a small cell serves long prompts too. */
export function enginesForLong(
  engines: readonly EngineView[],
  reserved: ReadonlySet<EngineView>,
): readonly EngineView[] {
  const open = engines.filter((engine) => !reserved.has(engine));
  return open.length > 0 ? open : engines.slice(-1);
}
