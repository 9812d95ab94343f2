import type { Timestamp } from "../../src/core/time.ts";

const MAX_LINES = 4_000;

/** What happened in a run, line by line: when, who, what. */
export class Trace {
  readonly #now: () => Timestamp;
  readonly #start: Timestamp;
  readonly #lines: string[] = [];

  private constructor(now: () => Timestamp) {
    this.#now = now;
    this.#start = now();
  }

  static create(now: () => Timestamp): Trace {
    return new Trace(now);
  }

  get lines(): readonly string[] {
    return this.#lines;
  }

  add(who: string, what: string): void {
    if (this.#lines.length >= MAX_LINES) return;
    const at = String(this.#now() - this.#start).padStart(7);
    this.#lines.push(`${at} ms  ${who.padEnd(9)} ${what}`);
  }
}
