import { Buffer } from "node:buffer";
import { constants, deflateSync, inflateSync } from "node:zlib";
import { err, ok, type Result } from "neverthrow";

/** First byte of JSON that is not deflated. */
const PLAIN_JSON_FIRST_BYTE = "{".charCodeAt(0);

/** Writes a JSON object: deflated from a size on, as lists of like entries shrink to a fraction. */
export function deflateJson(
  value: object,
  options: Readonly<{ fromBytes: number }>,
): Buffer {
  const plain = Buffer.from(JSON.stringify(value));
  if (plain.length < options.fromBytes) return plain;
  return deflateSync(plain, { level: constants.Z_BEST_SPEED });
}

/** Reads what `deflateJson` wrote; fails on anything else, or where it would be larger than `maxBytes`. */
export function inflateJson(
  data: Buffer,
  options: Readonly<{ maxBytes: number }>,
): Result<unknown, string> {
  let text: string;
  try {
    const maxOutputLength = options.maxBytes;
    text = data[0] === PLAIN_JSON_FIRST_BYTE
      ? data.toString()
      : inflateSync(data, { maxOutputLength }).toString();
  } catch {
    return err("The bytes are neither JSON nor deflated");
  }
  try {
    return ok(JSON.parse(text));
  } catch {
    return err("The bytes are not JSON");
  }
}
