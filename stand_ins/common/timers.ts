import { performance } from "node:perf_hooks";
import { clearTimeout, setTimeout } from "node:timers";
import type { Millis } from "../../src/core/time.ts";

/** A timer that was set. */
export type Timer = Readonly<{ clear: () => void }>;

/** Time as a stand-in sees it; tests replace that of the system. */
export abstract class Timers {
  /** Milliseconds since any fixed moment. */
  abstract now(): Millis;

  /** Calls `run` once after `ms`. */
  abstract set(run: () => void, ms: Millis): Timer;
}

/** Timers of the system. */
export class SystemTimers extends Timers {
  static create(): SystemTimers {
    return new SystemTimers();
  }

  override now(): Millis {
    return performance.now();
  }

  override set(run: () => void, ms: Millis): Timer {
    const timer = setTimeout(run, ms);
    return { clear: () => clearTimeout(timer) };
  }
}
