import type { Buffer } from "node:buffer";
import type { Millis } from "../../core/time.ts";

/** Bytes that the parser is handed first, and at least and at most at once. */
export const FIRST_SLICE_BYTES = 4 << 10;
const MIN_SLICE_BYTES = 1 << 10;
const MAX_SLICE_BYTES = 8 << 10;
/** Time for a slice, beyond which the next one is smaller, and below which it is larger. */
const LONG_SLICE_MS: Millis = 1;
const SHORT_SLICE_MS: Millis = 0.25;
/** A body that costs more time for a byte comes in very small pieces. */
const COSTLY_MS_PER_BYTE: Millis = 1 / 10_000;
/** What ends a head, a body in chunks, and its trailers. */
const END = "\r\n\r\n";

/** Bytes of the next slice: a whole body where its length is known, and otherwise no more than up to the next request. */
export function nextSliceBytes(
  received: Buffer,
  state: Readonly<{ sliceBytes: number; bodyLeft: number }>,
): number {
  const { sliceBytes, bodyLeft } = state;
  if (bodyLeft > 0) return Math.min(received.length, bodyLeft, MAX_SLICE_BYTES);
  const slice = received.subarray(0, sliceBytes);
  const end = slice.indexOf(END);
  return end < 0 ? slice.length : end + END.length;
}

/**
 * Size of the slice after one that took `ms`.
 *
 * Load pattern: bodies in chunks of one byte on many connections, each of which is a piece of work for the parser.
 */
export function adaptSliceBytes(sliceBytes: number, ms: Millis): number {
  if (ms > LONG_SLICE_MS) return Math.max(MIN_SLICE_BYTES, sliceBytes / 2);
  if (ms >= SHORT_SLICE_MS) return sliceBytes;
  return Math.min(MAX_SLICE_BYTES, sliceBytes * 2);
}

/** Whether a part of a body took so long that its connection waits for its turn from now on. */
export function isCostly(bytes: number, ms: Millis): boolean {
  return ms > bytes * COSTLY_MS_PER_BYTE && ms >= SHORT_SLICE_MS;
}
