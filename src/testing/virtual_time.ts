import TinyQueue from "tinyqueue";
import { addMs, type Millis, type Timestamp } from "../core/time.ts";

type Task = Readonly<{ at: Timestamp; seq: number; run: () => void }>;

/** A clock that stands still until told to run, and does what is due in order of time. */
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

  /** Does something after `delayMs`. */
  schedule(delayMs: Millis, run: () => void): void {
    this.#seq += 1;
    this.#tasks.push({ at: addMs(this.#now, delayMs), seq: this.#seq, run });
  }

  /** Runs for `ms`, calling `check` after each thing done. */
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
