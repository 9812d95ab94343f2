import {
  closeSync,
  createReadStream,
  openSync,
  unlinkSync,
  writeSync,
} from "node:fs";
import { createInterface } from "node:readline";
import { err, ok, type Result } from "neverthrow";
import { type CliError, cliError } from "./report.ts";

/** Writes a new file of JSON lines; an existing file is never overwritten. */
export class ArchiveWriter {
  readonly #path: string;
  readonly #file: number;

  private constructor(path: string, file: number) {
    this.#path = path;
    this.#file = file;
  }

  static create(path: string): Result<ArchiveWriter, CliError> {
    try {
      return ok(new ArchiveWriter(path, openSync(path, "wx")));
    } catch (cause) {
      return err(archiveError(cause));
    }
  }

  /** Writes one line. */
  write(value: unknown): void {
    writeSync(this.#file, `${JSON.stringify(value)}\n`);
  }

  close(): void {
    closeSync(this.#file);
  }

  /** Removes an incomplete file, so that the export can be repeated with the same path. */
  discard(): void {
    closeSync(this.#file);
    unlinkSync(this.#path);
  }
}

/** Reads the lines of an archive; a line that is not JSON is returned as text. */
export async function readArchive(
  path: string,
  onValue: (value: unknown) => void,
): Promise<Result<void, CliError>> {
  try {
    const lines = createInterface({ input: createReadStream(path) });
    for await (const line of lines) onValue(parseLine(line));
    return ok(undefined);
  } catch (cause) {
    return err(archiveError(cause));
  }
}

function parseLine(line: string): unknown {
  try {
    return JSON.parse(line);
  } catch {
    return line;
  }
}

function archiveError(cause: unknown): CliError {
  return cliError("bad_archive", (cause as Error).message, "bad_input");
}
