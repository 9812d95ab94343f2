import { performance } from "node:perf_hooks";
import process from "node:process";
import { setTimeout as sleep } from "node:timers/promises";
import type { Millis } from "../core/time.ts";

const TICK_MS: Millis = 10;
/** A tick that comes later than this shows that the process had no processor. */
const STARVED_MS: Millis = 50;

/** Measures time without the spans in which the machine's other load kept this process from running. */
export class Stopwatch {
  readonly #startedAt = performance.now();
  #starvedMs: Millis = 0;
  #running = true;

  private constructor() {
    void this.#tick();
  }

  static start(): Stopwatch {
    return new Stopwatch();
  }

  /** Stops the watch; returns the time in which the process could run. */
  async stop(): Promise<Millis> {
    const elapsedMs = performance.now() - this.#startedAt;
    // The tick that was due measures the last span.
    await sleep(TICK_MS);
    this.#running = false;
    return elapsedMs - this.#starvedMs;
  }

  async #tick(): Promise<void> {
    while (this.#running) {
      const from = performance.now();
      const cpuFrom = process.cpuUsage();
      await sleep(TICK_MS, undefined, { ref: false });
      const lateMs = performance.now() - from - TICK_MS;
      const { user, system } = process.cpuUsage(cpuFrom);
      // A loop that was busy itself is no starvation.
      const idleMs = lateMs - (user + system) / 1_000;
      if (lateMs > STARVED_MS && idleMs > 0) this.#starvedMs += idleMs;
    }
  }
}
