import { Buffer } from "node:buffer";
import { constants, deflateSync, inflateSync } from "node:zlib";
import { err, ok, type Result } from "neverthrow";

/** First byte of a JSON object, which deflated data never begins with. */
const PLAIN_JSON_FIRST_BYTE = "{".charCodeAt(0);

/** Encodes an object as JSON, deflated from `fromBytes` on, since lists of similar entries compress well. */
export function deflateJson(
  value: object,
  options: Readonly<{ fromBytes: number }>,
): Buffer {
  const plain = Buffer.from(JSON.stringify(value));
  if (plain.length < options.fromBytes) return plain;
  return deflateSync(plain, { level: constants.Z_BEST_SPEED });
}

/** Decodes the output of `deflateJson`; fails on other data, or if it inflates to more than `maxBytes`. */
export function inflateJson(
  data: Buffer,
  options: Readonly<{ maxBytes: number }>,
): Result<unknown, string> {
  if (data.length > options.maxBytes) return err("The data is too large");
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
