import { SonicBoom } from "sonic-boom";
import { SECOND_MS, type Timestamp } from "../core/time.ts";

/** What a line says. */
export type LogFields = Readonly<
  Record<string, string | number | boolean | undefined>
>;

/** Lines of one kind that are written in a second; more are counted only. */
const MAX_LINES_PER_KIND_AND_SECOND = 60;
/** Bytes that may wait for a slow reader; more lines are dropped. */
const MAX_BUFFERED_BYTES = 256 * 1024;
/** Bytes that are gathered for one write. */
const MIN_WRITE_BYTES = 8 * 1024;

type LineBudget = { second: number; written: number; suppressed: number };

/** Writes one JSON object a line to standard output; never waits for the reader. */
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
    // A reader that is gone must not end the process; what it misses is counted.
    this.#out.on("error", () => this.#dropped += 1);
  }

  /** Builds a log whose lines all carry `fields`. */
  static create(
    fields: LogFields,
    options: { now: () => Timestamp; fd?: number },
  ): EventLog {
    return new EventLog(fields, options.now, options.fd ?? 1);
  }

  /** Lines that were lost, as the reader was too slow or gone. */
  get dropped(): number {
    return this.#dropped;
  }

  /** Writes a line unless its kind has used up its budget of this second. */
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

  /** Hands on what was gathered. */
  flush(): void {
    this.#out.flush();
  }

  /** Writes what was gathered before the process ends. */
  close(): void {
    try {
      this.#out.flushSync();
    } catch {
      // The reader is gone or full; no reader is left.
      this.#dropped += 1;
    }
  }

  #budgetFor(kind: string, second: number): LineBudget {
    const known = this.#budgets.get(kind);
    if (known === undefined) {
      const budget = { second, written: 0, suppressed: 0 };
      this.#budgets.set(kind, budget);
      return budget;
    }
    if (known.second !== second) {
      if (known.suppressed > 0) {
        this.#write(this.#now(), "left_out", {
          of: kind,
          count: known.suppressed,
        });
      }
      known.second = second;
      known.written = 0;
      known.suppressed = 0;
    }
    return known;
  }

  #write(now: Timestamp, kind: string, fields: LogFields): void {
    const at = new Date(now).toISOString();
    this.#out.write(
      JSON.stringify({ at, kind, ...this.#fields, ...fields }) + "\n",
    );
  }
}
