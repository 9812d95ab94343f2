import TinyQueue from "tinyqueue";
import type { Timestamp } from "../../src/core/time.ts";

type Timed = Readonly<{ at: Timestamp; order: number; run: () => void }>;

/** Virtual time: runs what is due in order of time, then of scheduling. */
export class VirtualClock {
  readonly #queue = new TinyQueue<Timed>([], compareTimed);
  #now: Timestamp;
  #order = 0;

  private constructor(now: Timestamp) {
    this.#now = now;
  }

  static create(now: Timestamp): VirtualClock {
    return new VirtualClock(now);
  }

  get now(): Timestamp {
    return this.#now;
  }

  /** Runs `run` at `at`, or now if that has passed. */
  at(at: number, run: () => void): void {
    this.#order += 1;
    const due = Math.max(at, this.#now) as Timestamp;
    this.#queue.push({ at: due, order: this.#order, run });
  }

  /** Runs `run` after `ms`. */
  after(ms: number, run: () => void): void {
    this.at(this.#now + ms, run);
  }

  /** Runs everything until `done` says so or nothing is left. */
  run(done: () => boolean): void {
    while (!done()) {
      const next = this.#queue.pop();
      if (next === undefined) return;
      this.#now = next.at;
      next.run();
    }
  }
}

function compareTimed(a: Timed, b: Timed): number {
  return a.at - b.at || a.order - b.order;
}
