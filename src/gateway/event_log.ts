import { SonicBoom } from "sonic-boom";
import { type Millis, SECOND_MS, type Timestamp } from "../core/time.ts";
import { ReadFirstTimer } from "./read_first_timer.ts";

/** Fields of one log line. */
export type LogFields = Readonly<
  Record<string, string | number | boolean | undefined>
>;

/** Lines of one kind that are written per second; further lines are only counted. */
const MAX_LINES_PER_KIND_AND_SECOND = 60;
/** Bytes buffered for a slow reader; lines beyond this are dropped. */
const MAX_BUFFERED_BYTES = 256 * 1024;
/** Bytes buffered before a write. */
const MIN_WRITE_BYTES = 8 * 1024;

/** Time that the last lines are given to be written. */
export const CLOSE_TIMEOUT_MS: Millis = 200;

type LineBudget = { second: number; written: number; suppressed: number };

/** Writes one JSON object per line to a file descriptor, standard output by default; never blocks on the reader. */
export class EventLog {
  readonly #out: SonicBoom;
  readonly #fields: LogFields;
  readonly #now: () => Timestamp;
  readonly #budgets = new Map<string, LineBudget>();
  #dropped = 0;

  private constructor(
    fields: LogFields,
    now: () => Timestamp,
    fd: number,
  ) {
    this.#fields = fields;
    this.#now = now;
    this.#out = new SonicBoom({
      fd,
      sync: false,
      minLength: MIN_WRITE_BYTES,
      maxLength: MAX_BUFFERED_BYTES,
    });
    this.#out.on("drop", () => this.#dropped += 1);
    // A closed pipe must not end the process; the failed write is counted.
    this.#out.on("error", () => this.#dropped += 1);
  }

  /** Builds a log that adds `fields` to each line; `now` is the wall-clock time in Unix ms. */
  static create(
    fields: LogFields,
    options: { now: () => Timestamp; fd?: number },
  ): EventLog {
    return new EventLog(fields, options.now, options.fd ?? 1);
  }

  /** Dropped lines and failed writes, because the reader was too slow or gone. */
  get dropped(): number {
    return this.#dropped;
  }

  /** Writes a line unless its kind has used up its budget for the current second. */
  line(kind: string, fields: LogFields): void {
    const now = this.#now();
    const budget = this.#budgetFor(kind, Math.floor(now / SECOND_MS));
    if (budget.written >= MAX_LINES_PER_KIND_AND_SECOND) {
      budget.suppressed += 1;
      return;
    }
    budget.written += 1;
    this.#write(now, kind, fields);
  }

  /** Starts writing the buffered lines. */
  flush(): void {
    this.#out.flush();
  }

  /**
   * Writes the buffered lines before the process exits; resolves to whether all were written. If not, a write may be
   * blocked by a reader that has stopped, and `process.exit` would wait for it.
   */
  close(): Promise<boolean> {
    for (const [kind, budget] of this.#budgets) {
      this.#writeLeftOut(kind, budget);
    }
    return new Promise((resolve) => {
      const timer = ReadFirstTimer.start(
        () => resolve(false),
        CLOSE_TIMEOUT_MS,
      );
      // The callback of `flush` would wait for the disk.
      this.#out.once("drain", () => {
        timer.stop();
        resolve(true);
      });
      this.#out.flush();
    });
  }

  #budgetFor(kind: string, second: number): LineBudget {
    const known = this.#budgets.get(kind);
    if (known === undefined) {
      const budget = { second, written: 0, suppressed: 0 };
      this.#budgets.set(kind, budget);
      return budget;
    }
    if (known.second !== second) {
      this.#writeLeftOut(kind, known);
      known.second = second;
      known.written = 0;
    }
    return known;
  }

  #writeLeftOut(kind: string, budget: LineBudget): void {
    if (budget.suppressed === 0) return;
    const count = budget.suppressed;
    budget.suppressed = 0;
    this.#write(this.#now(), "left_out", { of: kind, count });
  }

  #write(now: Timestamp, kind: string, fields: LogFields): void {
    const at = new Date(now).toISOString();
    this.#out.write(
      JSON.stringify({ at, kind, ...this.#fields, ...fields }) + "\n",
    );
  }
}
