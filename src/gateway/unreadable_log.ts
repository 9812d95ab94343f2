import type { LogFields } from "./event_log.ts";

/** What of others' data could not be used, and why. */
export type Unreadable = Readonly<{
  /** Topic of the store, or `peer`. */
  source: string;
  /** Key of the record in the store. */
  key?: string;
  detail: string;
  /** Offset up to which the store was read. */
  next?: number;
}>;

/** Reports that are remembered, so that an unchanged record isn't reported with each read. */
const MAX_REMEMBERED = 256;
const MAX_TEXT_LENGTH = 200;

/** Writes one line for each odd thing that others wrote, however often it is read. */
export class UnreadableLog {
  readonly #line: (kind: string, fields: LogFields) => void;
  readonly #reported = new Set<string>();

  private constructor(line: (kind: string, fields: LogFields) => void) {
    this.#line = line;
  }

  static create(
    line: (kind: string, fields: LogFields) => void,
  ): UnreadableLog {
    return new UnreadableLog(line);
  }

  /** Reports what could not be used, unless the same has been reported before. */
  report({ source, key, detail, next }: Unreadable): void {
    const fields = {
      source,
      key: key?.slice(0, MAX_TEXT_LENGTH),
      detail: detail.slice(0, MAX_TEXT_LENGTH),
    };
    const id = JSON.stringify(fields);
    if (this.#reported.has(id)) return;
    this.#reported.add(id);
    const [oldest] = this.#reported;
    if (this.#reported.size > MAX_REMEMBERED) this.#reported.delete(oldest!);
    this.#line("entry_unreadable", { ...fields, next });
  }
}
