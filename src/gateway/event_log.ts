import { SonicBoom } from "sonic-boom";
import { SECOND_MS, type Timestamp } from "../core/time.ts";

/** What a line says. */
export type LineFields = Readonly<
  Record<string, string | number | boolean | undefined>
>;

/** Lines of one kind that are written in a second; more are counted only. */
const LINES_PER_SECOND = 60;
/** Bytes that may wait for a slow reader; more lines are dropped. */
const MAX_WAITING_BYTES = 256 * 1024;
/** Bytes that are gathered for one write. */
const WRITE_BYTES = 8 * 1024;

type Budget = { second: number; written: number; left: number };

/** Writes one JSON object a line to standard output; never waits for the reader. */
export class EventLog {
  readonly #out: SonicBoom;
  readonly #fields: LineFields;
  readonly #now: () => Timestamp;
  readonly #budgets = new Map<string, Budget>();
  #dropped = 0;

  private constructor(
    fields: LineFields,
    now: () => Timestamp,
    fd: number,
  ) {
    this.#fields = fields;
    this.#now = now;
    this.#out = new SonicBoom({
      fd,
      sync: false,
      minLength: WRITE_BYTES,
      maxLength: MAX_WAITING_BYTES,
    });
    this.#out.on("drop", () => this.#dropped += 1);
    // A reader that is gone must not end the process; what it misses is counted.
    this.#out.on("error", () => this.#dropped += 1);
  }

  /** Builds a log whose lines all carry `fields`. */
  static create(
    fields: LineFields,
    options: { now: () => Timestamp; fd?: number },
  ): EventLog {
    return new EventLog(fields, options.now, options.fd ?? 1);
  }

  /** Lines that were lost, as the reader was too slow or gone. */
  get dropped(): number {
    return this.#dropped;
  }

  /** Writes a line unless its kind has used up its budget of this second. */
  line(kind: string, fields: LineFields): void {
    const now = this.#now();
    const budget = this.#budgetOf(kind, Math.floor(now / SECOND_MS));
    if (budget.written >= LINES_PER_SECOND) {
      budget.left += 1;
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

  #budgetOf(kind: string, second: number): Budget {
    const known = this.#budgets.get(kind);
    if (known === undefined) {
      const budget = { second, written: 0, left: 0 };
      this.#budgets.set(kind, budget);
      return budget;
    }
    if (known.second !== second) {
      if (known.left > 0) {
        this.#write(this.#now(), "left_out", { of: kind, count: known.left });
      }
      known.second = second;
      known.written = 0;
      known.left = 0;
    }
    return known;
  }

  #write(now: Timestamp, kind: string, fields: LineFields): void {
    const at = new Date(now).toISOString();
    this.#out.write(
      JSON.stringify({ at, kind, ...this.#fields, ...fields }) + "\n",
    );
  }
}
