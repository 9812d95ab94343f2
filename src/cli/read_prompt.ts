import { Buffer } from "node:buffer";
import { createReadStream } from "node:fs";
import process from "node:process";
import { err, ok, type Result } from "neverthrow";
import { type CliError, cliError } from "./report.ts";

const MAX_PROMPT_BYTES = 64 * 1_048_576;

/** Reads a prompt from a file, or from standard input. */
export async function readPrompt(
  file: string | undefined,
): Promise<Result<string, CliError>> {
  const source = file === undefined || file === "-"
    ? process.stdin
    : createReadStream(file);
  const chunks: Buffer[] = [];
  let bytes = 0;
  try {
    for await (const chunk of source) {
      const buffer = Buffer.from(chunk);
      bytes += buffer.byteLength;
      if (bytes > MAX_PROMPT_BYTES) {
        return err(badPrompt(`is larger than ${MAX_PROMPT_BYTES} bytes`));
      }
      chunks.push(buffer);
    }
  } catch (cause) {
    return err(badPrompt(`can't be read: ${String(cause)}`));
  }
  if (bytes === 0) return err(badPrompt("is empty"));
  return ok(Buffer.concat(chunks).toString("utf8"));
}

function badPrompt(detail: string): CliError {
  return cliError("bad_prompt", `The prompt ${detail}.`, "bad_input");
}
