import { Buffer } from "node:buffer";

/** Least capacity of a buffer that grows, in bytes. */
const MIN_CAPACITY_BYTES = 1_024;

/**
 * Gathers bytes that arrive in pieces in one buffer. Its cost in time and memory follows from the number of bytes, and
 * not from that of the pieces, which the sender chooses.
 */
export class ByteAccumulator {
  #buffer: Buffer = Buffer.alloc(0);
  #length = 0;
  #copiedBytes = 0;

  static create(): ByteAccumulator {
    return new ByteAccumulator();
  }

  /** Number of bytes that were gathered. */
  get length(): number {
    return this.#length;
  }

  /** Number of bytes that were copied so far, to gather them or to enlarge the buffer. */
  get copiedBytes(): number {
    return this.#copiedBytes;
  }

  /** The gathered bytes; valid until the next change. */
  get bytes(): Buffer {
    return this.#buffer.subarray(0, this.#length);
  }

  /** Adds bytes. The first ones are not copied, so they must not change. */
  append(piece: Buffer): void {
    if (this.#length === 0) return this.reset(piece);
    const length = this.#length + piece.length;
    if (length > this.#buffer.length) this.#enlarge(length);
    piece.copy(this.#buffer, this.#length);
    this.#copiedBytes += piece.length;
    this.#length = length;
  }

  /** Replaces the gathered bytes by others, which are not copied; the former ones stay as they are. */
  reset(bytes: Buffer = Buffer.alloc(0)): void {
    this.#buffer = bytes;
    this.#length = bytes.length;
  }

  #enlarge(length: number): void {
    const capacity = Math.max(
      MIN_CAPACITY_BYTES,
      length,
      2 * this.#buffer.length,
    );
    const buffer = Buffer.allocUnsafe(capacity);
    this.#buffer.copy(buffer, 0, 0, this.#length);
    this.#copiedBytes += this.#length;
    this.#buffer = buffer;
  }
}
