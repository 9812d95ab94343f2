import { Buffer } from "node:buffer";
import { constants, deflateSync, inflateSync } from "node:zlib";
import { err, ok, type Result } from "neverthrow";

/** First byte of a JSON object, which deflated data never begins with. */
const PLAIN_JSON_FIRST_BYTE = "{".charCodeAt(0);

/** Data up to this size is deflated with a small window, which takes less time to set up. */
const SMALL_DATA_BYTES = 2_048;
const SMALL_WINDOW = { windowBits: 12, memLevel: 5 } as const;

/**
 * Encodes an object as JSON, deflated from `fromBytes` on, since lists of similar entries compress well. With a
 * `dictionary`, text that it holds is referred to in place of being written, so that short objects compress well too.
 */
export function deflateJson(
  value: object,
  options: Readonly<{ fromBytes: number; dictionary?: Buffer }>,
): Buffer {
  const { fromBytes, dictionary } = options;
  const plain = Buffer.from(JSON.stringify(value));
  if (plain.length < fromBytes) return plain;
  return deflateSync(plain, {
    level: constants.Z_BEST_SPEED,
    ...(plain.length <= SMALL_DATA_BYTES ? SMALL_WINDOW : {}),
    ...(dictionary === undefined ? {} : { dictionary }),
  });
}

/**
 * Decodes the output of `deflateJson`, with or without the dictionary; fails on other data, or if it inflates to more
 * than `maxBytes`.
 */
export function inflateJson(
  data: Buffer,
  options: Readonly<{ maxBytes: number; dictionary?: Buffer }>,
): Result<unknown, string> {
  if (data.length > options.maxBytes) return err("The data is too large");
  let text: string;
  try {
    const { maxBytes: maxOutputLength, dictionary } = options;
    text = data[0] === PLAIN_JSON_FIRST_BYTE
      ? data.toString()
      : inflateSync(data, { maxOutputLength, dictionary }).toString();
  } catch {
    return err("The bytes are neither JSON nor deflated");
  }
  try {
    return ok(JSON.parse(text));
  } catch {
    return err("The bytes are not JSON");
  }
}
