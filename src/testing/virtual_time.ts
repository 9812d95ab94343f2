import TinyQueue from "tinyqueue";
import { addMs, type Millis, type Timestamp } from "../core/time.ts";

type Task = Readonly<{ at: Timestamp; seq: number; run: () => void }>;

/** A simulated clock that advances only in `run`, which executes scheduled tasks in order of time. */
export class VirtualTime {
  #now: Timestamp;
  #seq = 0;
  readonly #tasks = new TinyQueue<Task>(
    [],
    (a, b) => a.at - b.at || a.seq - b.seq,
  );

  private constructor(start: Timestamp) {
    this.#now = start;
  }

  static create(start: Timestamp): VirtualTime {
    return new VirtualTime(start);
  }

  get now(): Timestamp {
    return this.#now;
  }

  /** Schedules a task `delayMs` from now. */
  schedule(delayMs: Millis, run: () => void): void {
    this.#seq += 1;
    this.#tasks.push({ at: addMs(this.#now, delayMs), seq: this.#seq, run });
  }

  /** Advances the clock by `ms`, calling `check` after each task. */
  run(ms: Millis, check: () => void = () => {}): void {
    const end = addMs(this.#now, ms);
    for (;;) {
      const next = this.#tasks.peek();
      if (next === undefined || next.at > end) break;
      this.#tasks.pop();
      this.#now = next.at;
      next.run();
      check();
    }
    this.#now = end;
  }
}
