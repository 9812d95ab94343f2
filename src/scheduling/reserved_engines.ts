import { type Millis, SECOND_MS, type Timestamp } from "../core/time.ts";
import type { CellJobTracker } from "./cell_job_tracker.ts";
import { DemandMeter } from "./demand_meter.ts";
import type { EngineView } from "./engine_view.ts";

/** Time over which the demand of short prompts is averaged. */
const DEMAND_WINDOW_MS: Millis = 10 * SECOND_MS;
/** Engines of a cell for each that may be kept for shared prefixes. */
const ENGINES_PER_PREFIX_ENGINE = 8;

/** Which engines are kept for short prompts, by what those have lately needed. */
export class ReservedEngines {
  readonly #tracker: CellJobTracker;
  readonly #demand = DemandMeter.create(DEMAND_WINDOW_MS);

  private constructor(accounts: CellJobTracker) {
    this.#tracker = accounts;
  }

  static create(tracker: CellJobTracker): ReservedEngines {
    return new ReservedEngines(tracker);
  }

  /** Takes in the prefill time of a short prompt that was placed. */
  recordShortPrefill(prefillMs: Millis, now: Timestamp): void {
    this.#demand.add(prefillMs, now);
  }

  /** Engines that are kept for short prompts now. */
  targetCount(now: Timestamp): number {
    const { shortUtilization } = this.#tracker.policy;
    const demanded = this.#demand.busyEngines(now) / shortUtilization;
    return this.#prefixEngineCount() + Math.ceil(demanded);
  }

  /** Engines for prompts with long shared prefixes. */
  prefixEngines(): ReadonlySet<EngineView> {
    return this.#firstEngines(this.#prefixEngineCount());
  }

  /** A small cell keeps no engine for shared prefixes alone. */
  #prefixEngineCount(): number {
    const { shortEngines } = this.#tracker.policy;
    const maxCount = Math.floor(
      this.#tracker.engines.size / ENGINES_PER_PREFIX_ENGINE,
    );
    return Math.min(shortEngines, maxCount);
  }

  /** The engines that are kept; all of them while there is no long prompt to keep any of them for. */
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

  /** Long prompts whose prefill is under way. */
  longCount(): number {
    let count = 0;
    for (const job of this.#tracker.jobs.values()) {
      if (job.long && job.firstTokenAt === undefined) count += 1;
    }
    return count;
  }
}

/** Engines that are not kept for short prompts; one at least, so that a small fleet serves long ones too. */
export function enginesForLong(
  engines: readonly EngineView[],
  reserved: ReadonlySet<EngineView>,
): readonly EngineView[] {
  const open = engines.filter((engine) => !reserved.has(engine));
  return open.length > 0 ? open : engines.slice(-1);
}
