import type { Writable } from "node:stream";
import { formatConfigError } from "../config/config_error.ts";
import { EXIT_CODES } from "./exit_code.ts";
import type { CliError, Report } from "./report.ts";

const CLEAR_LINE = "\r\u001b[2K";

/** A stream that a terminal may be attached to. */
export type OutputStream = Pick<Writable, "write"> & { isTTY?: boolean };

/** Writes reports and errors of verbs, as text or as JSON. */
export class Output {
  readonly #out: OutputStream;
  readonly #err: OutputStream;
  #progressShown = false;

  private constructor(out: OutputStream, err: OutputStream) {
    this.#out = out;
    this.#err = err;
  }

  static create(out: OutputStream, err: OutputStream): Output {
    return new Output(out, err);
  }

  /** Shows progress on one line, if a terminal is attached. */
  progress(text: string): void {
    if (!this.#err.isTTY) return;
    this.#err.write(CLEAR_LINE + text);
    this.#progressShown = true;
  }

  /** Writes text of a streamed response as it arrives. */
  write(text: string): void {
    this.#clear();
    this.#out.write(text);
  }

  /** Writes a report and returns the exit code. */
  report(report: Report, json: boolean): number {
    this.#clear();
    const exit = EXIT_CODES[report.exit];
    const lines = json
      ? [JSON.stringify({ ...report.data, exit })]
      : report.lines;
    this.#out.write(lines.map((line) => `${line}\n`).join(""));
    return exit;
  }

  /** Writes an error and returns the exit code. */
  error(err: CliError, json: boolean): number {
    this.#clear();
    const exit = EXIT_CODES[err.exit];
    if (json) {
      this.#out.write(`${JSON.stringify({ error: err, exit })}\n`);
      return exit;
    }
    const details = err.errors?.map(formatConfigError) ?? [];
    const lines = [...details, `${err.code}: ${err.detail}`];
    this.#err.write(lines.map((line) => `${line}\n`).join(""));
    return exit;
  }

  #clear(): void {
    if (this.#progressShown) this.#err.write(CLEAR_LINE);
    this.#progressShown = false;
  }
}
