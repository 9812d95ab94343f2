import { type Timer, Timers } from "../../stand_ins/common/timers.ts";
import type { Millis, Timestamp } from "../core/time.ts";
import { VirtualTime } from "./virtual_time.ts";

/** Timers that run only when a test advances them. */
export class ManualTimers extends Timers {
  readonly #time = VirtualTime.create(0 as Timestamp);

  static create(): ManualTimers {
    return new ManualTimers();
  }

  override now(): Millis {
    return this.#time.now;
  }

  override set(run: () => void, ms: Millis): Timer {
    let isSet = true;
    this.#time.schedule(Math.max(0, ms), () => {
      if (isSet) run();
    });
    return {
      clear: () => {
        isSet = false;
      },
    };
  }

  /** Lets `ms` pass. */
  advance(ms: Millis): void {
    this.#time.run(ms);
  }
}
