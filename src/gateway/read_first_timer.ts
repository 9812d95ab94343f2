import { performance } from "node:perf_hooks";
import { type Millis, timerMs } from "../core/time.ts";

/** Time without a reading of the sockets, or by which a timer is late, that shows that the event loop stood still. */
const STALL_MS: Millis = 50;
/** Time in which more of an answer that is arriving is read. */
const READING_STEP_MS: Millis = 20;
/** Longest time after a stall that is spent on reading what has arrived. */
const MAX_READING_MS: Millis = 200;

/** When something was last read, by `performance.now`; a change shows that more was waiting. */
export type LastRead = () => Millis;

/**
 * A timer whose callback runs after sockets were read. Node.js runs timers before it reads sockets, so that after a stall
 * of the event loop a plain timer ends what has arrived in time.
 */
export class ReadFirstTimer {
  readonly #act: () => void;
  readonly #lastRead: LastRead;
  readonly #dueAt: Millis;
  #timer: NodeJS.Timeout | undefined;
  #immediate: NodeJS.Immediate | undefined;

  private constructor(act: () => void, ms: Millis, lastRead: LastRead) {
    this.#act = act;
    this.#lastRead = lastRead;
    const waitMs = timerMs(ms);
    this.#dueAt = performance.now() + waitMs;
    this.#timer = setTimeout(() => this.#read(), waitMs);
  }

  /** Starts a timer; after a stall it also waits while `lastRead` changes from one reading of the sockets to the next. */
  static start(
    act: () => void,
    ms: Millis,
    lastRead: LastRead = () => -Infinity,
  ): ReadFirstTimer {
    return new ReadFirstTimer(act, ms, lastRead);
  }

  stop(): void {
    clearTimeout(this.#timer);
    clearImmediate(this.#immediate);
  }

  /** Acts after the next reading of the sockets; after a stall, when a step of reading brings nothing more. */
  #read(): void {
    const before = this.#lastRead();
    const now = performance.now();
    // What comes now is later: the sockets have just been read.
    if (now - before < STALL_MS) return this.#act();
    const until = now - this.#dueAt > STALL_MS ? now + MAX_READING_MS : now;
    this.#immediate = setImmediate(() => this.#actUnlessMore(before, until));
  }

  #actUnlessMore(before: Millis, until: Millis): void {
    const lastRead = this.#lastRead();
    if (lastRead === before || performance.now() >= until) return this.#act();
    this.#timer = setTimeout(
      () => this.#actUnlessMore(lastRead, until),
      READING_STEP_MS,
    );
  }
}
