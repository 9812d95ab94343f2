import { type Millis, SECOND_MS, type Timestamp } from "../core/time.ts";
import type { CellAccounts } from "./cell_accounts.ts";
import { DemandMeter } from "./demand_meter.ts";
import type { EngineView } from "./engine_view.ts";

/** Time over which the demand of short prompts is averaged. */
const DEMAND_WINDOW_MS: Millis = 10 * SECOND_MS;
/** Engines of a cell for each that may be kept for shared prefixes. */
const ENGINES_FOR_EACH_KEPT = 8;

/** Which engines are kept for short prompts, by what those have lately needed. */
export class KeptEngines {
  readonly #accounts: CellAccounts;
  readonly #demand = DemandMeter.create(DEMAND_WINDOW_MS);

  private constructor(accounts: CellAccounts) {
    this.#accounts = accounts;
  }

  static create(accounts: CellAccounts): KeptEngines {
    return new KeptEngines(accounts);
  }

  /** Takes in the prefill time of a short prompt that was placed. */
  add(prefillMs: Millis, now: Timestamp): void {
    this.#demand.add(prefillMs, now);
  }

  /** Engines that are kept for short prompts now. */
  target(now: Timestamp): number {
    const { shortUtilization } = this.#accounts.policy;
    const demanded = this.#demand.engines(now) / shortUtilization;
    return this.#prefixTarget() + Math.ceil(demanded);
  }

  /** Engines for prompts with long shared prefixes. */
  prefixEngines(): ReadonlySet<EngineView> {
    return this.#firstEngines(this.#prefixTarget());
  }

  /** A small cell keeps no engine for shared prefixes alone. */
  #prefixTarget(): number {
    const { shortEngines } = this.#accounts.policy;
    const most = Math.floor(
      this.#accounts.engines.size / ENGINES_FOR_EACH_KEPT,
    );
    return Math.min(shortEngines, most);
  }

  /** The engines that are kept; all of them while there is no long prompt to keep any of them for. */
  engines(now: Timestamp, queued: number): ReadonlySet<EngineView> {
    const isIdle = this.longRunning() === 0 && queued === 0;
    return this.#firstEngines(isIdle ? Infinity : this.target(now));
  }

  #firstEngines(count: number): ReadonlySet<EngineView> {
    const live = [...this.#accounts.engines.values()].filter((one) => one.live);
    return new Set(live.slice(0, count));
  }

  /** Long prompts whose prefill is under way. */
  longRunning(): number {
    let count = 0;
    for (const job of this.#accounts.jobs.values()) {
      if (job.long && job.firstTokenAt === undefined) count += 1;
    }
    return count;
  }
}

/** Engines that are not kept for short prompts; one at least, so that a small fleet serves long ones too. */
export function openToLong(
  engines: readonly EngineView[],
  kept: ReadonlySet<EngineView>,
): readonly EngineView[] {
  const open = engines.filter((engine) => !kept.has(engine));
  return open.length > 0 ? open : engines.slice(-1);
}
