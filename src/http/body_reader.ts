import { Buffer } from "node:buffer";
import { err, ok, type Result } from "neverthrow";
import { type Problem, problem } from "../core/problem.ts";

/** Reads a body into one buffer; a body larger than `maxBytes` is refused as soon as the limit is exceeded. */
export async function readBody(
  chunks: AsyncIterable<Uint8Array>,
  maxBytes: number,
): Promise<Result<Uint8Array, Problem>> {
  const parts: Uint8Array[] = [];
  let size = 0;
  try {
    for await (const chunk of chunks) {
      size += chunk.byteLength;
      if (size > maxBytes) {
        return err(
          problem("body_too_large", `The body may have ${maxBytes} bytes.`),
        );
      }
      parts.push(chunk);
    }
  } catch (cause) {
    return err(
      problem(
        "client_left",
        `The body broke off: ${(cause as Error).message}.`,
      ),
    );
  }
  return ok(parts.length === 1 ? parts[0]! : Buffer.concat(parts, size));
}
