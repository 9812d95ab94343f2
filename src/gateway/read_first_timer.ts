import { performance } from "node:perf_hooks";
import { type Millis, timerMs } from "../core/time.ts";

/** A timer that is later than this shows that the event loop stood still. */
const STALL_MS: Millis = 50;
/** Time in which more of an answer that is arriving is read. */
const READING_STEP_MS: Millis = 20;
/** Longest time after a stall that is spent on reading what has arrived. */
const MAX_READING_MS: Millis = 200;

/** Counts what was read, such as bytes; a change shows that more was waiting. */
export type ReadCounter = () => number;

/**
 * A timer whose callback runs after sockets were read. Node.js runs timers before it reads sockets, so that after a stall
 * of the event loop a plain timer ends what has arrived in time.
 */
export class ReadFirstTimer {
  readonly #act: () => void;
  readonly #count: ReadCounter;
  readonly #dueAt: number;
  #timer: NodeJS.Timeout | undefined;
  #immediate: NodeJS.Immediate | undefined;

  private constructor(act: () => void, ms: Millis, count: ReadCounter) {
    this.#act = act;
    this.#count = count;
    const waitMs = timerMs(ms);
    this.#dueAt = performance.now() + waitMs;
    this.#timer = setTimeout(() => this.#read(), waitMs);
  }

  /** Starts a timer; after a stall it also waits while `count` changes from one reading of the sockets to the next. */
  static start(
    act: () => void,
    ms: Millis,
    count: ReadCounter = () => 0,
  ): ReadFirstTimer {
    return new ReadFirstTimer(act, ms, count);
  }

  stop(): void {
    clearTimeout(this.#timer);
    clearImmediate(this.#immediate);
  }

  /** Acts after the next reading of the sockets; after a stall, when a step of reading brings nothing more. */
  #read(): void {
    const before = this.#count();
    const now = performance.now();
    const until = now - this.#dueAt > STALL_MS ? now + MAX_READING_MS : now;
    this.#immediate = setImmediate(() => this.#actUnlessMore(before, until));
  }

  #actUnlessMore(before: number, until: number): void {
    const count = this.#count();
    if (count === before || performance.now() >= until) return this.#act();
    this.#timer = setTimeout(
      () => this.#actUnlessMore(count, until),
      READING_STEP_MS,
    );
  }
}
