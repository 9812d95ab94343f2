import type { Millis } from "../../src/core/time.ts";
import { type ActiveJob, compareJobs, prefillLeft } from "./active_job.ts";
import { type EngineModelConfig, prefillMs } from "./model_config.ts";

/** The jobs of the continuous batch. */
export class Batch {
  readonly #cfg: EngineModelConfig;
  /** By priority, then by arrival. */
  #prefilling: ActiveJob[] = [];
  #decoding: ActiveJob[] = [];

  private constructor(cfg: EngineModelConfig) {
    this.#cfg = cfg;
  }

  static create(cfg: EngineModelConfig): Batch {
    return new Batch(cfg);
  }

  get size(): number {
    return this.#prefilling.length + this.#decoding.length;
  }

  get prefilling(): readonly ActiveJob[] {
    return this.#prefilling;
  }

  get decoding(): readonly ActiveJob[] {
    return this.#decoding;
  }

  /** Adds a job that has its memory. */
  add(active: ActiveJob): void {
    active.state = "prefilling";
    const at = this.#prefilling.findIndex((other) =>
      compareJobs(active, other) < 0
    );
    this.#prefilling.splice(at < 0 ? this.#prefilling.length : at, 0, active);
  }

  /** Gives out the prefill tokens of the next step; returns how long it takes. */
  begin(): Millis {
    const cfg = this.#cfg;
    let budget = cfg.prefillStepTokens;
    let duration = cfg.stepMs + cfg.decodeStreamMs * this.#decoding.length;
    for (const active of this.#prefilling) {
      active.chunk = Math.min(budget, prefillLeft(active));
      if (active.chunk === 0) continue;
      const cost = prefillMs(cfg, active.position, active.chunk);
      duration += active.remote ? cost * cfg.remoteKvFactor : cost;
      budget -= active.chunk;
    }
    return duration;
  }

  /** Ends the step; returns the jobs whose prefill it completed. */
  end(): ActiveJob[] {
    const completed: ActiveJob[] = [];
    for (const active of this.#prefilling) {
      if (active.chunk === 0) continue;
      active.position += active.chunk;
      active.chunk = 0;
      if (prefillLeft(active) === 0) completed.push(active);
    }
    return completed;
  }

  /** Moves a job whose prefill is complete to the decoding ones. */
  decode(active: ActiveJob): void {
    this.#prefilling = this.#prefilling.filter((other) => other !== active);
    active.state = "decoding";
    this.#decoding.push(active);
  }

  /** Takes a job out. */
  remove(active: ActiveJob): void {
    const keep = (other: ActiveJob) => other !== active;
    if (active.state === "prefilling") {
      this.#prefilling = this.#prefilling.filter(keep);
    } else {
      this.#decoding = this.#decoding.filter(keep);
    }
  }

  /** Forgets everything. */
  clear(): void {
    this.#prefilling = [];
    this.#decoding = [];
  }
}
