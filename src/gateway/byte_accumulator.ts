import { Buffer } from "node:buffer";
import type { BufferPool } from "./buffer_pool.ts";

/** Least capacity of a buffer that grows, in bytes. */
const MIN_CAPACITY_BYTES = 1_024;

type ByteAccumulatorOptions = Readonly<{
  /** Size beyond which the buffer doesn't grow ahead of what is gathered. */
  maxBytes?: number;
  /** Where larger buffers come from; the gathered bytes are then valid until the next change only. */
  pool?: BufferPool;
}>;

/**
 * Gathers bytes that arrive in pieces in one buffer. Its cost in time and memory follows from the number of bytes, and
 * not from that of the pieces, which the sender chooses.
 */
export class ByteAccumulator {
  #buffer: Buffer = Buffer.alloc(0);
  #length = 0;
  #copiedBytes = 0;
  readonly #maxBytes: number;
  readonly #pool: BufferPool | undefined;
  /** Whether the buffer is from the pool. */
  #pooled = false;

  private constructor(options: ByteAccumulatorOptions) {
    this.#maxBytes = options.maxBytes ?? Infinity;
    this.#pool = options.pool;
  }

  static create(options: ByteAccumulatorOptions = {}): ByteAccumulator {
    return new ByteAccumulator(options);
  }

  /** Number of bytes that were gathered. */
  get length(): number {
    return this.#length;
  }

  /** Size of the buffer, in bytes. */
  get capacity(): number {
    return this.#buffer.length;
  }

  /** Memory that is kept for the gathered bytes, in bytes; that of a slice is its whole buffer, unless others share it. */
  get heldBytes(): number {
    const { byteLength } = this.#buffer.buffer;
    return byteLength <= Buffer.poolSize ? this.capacity : byteLength;
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
    this.#pooled = false;
  }

  /** Drops the gathered bytes, to which nothing else may refer. */
  release(): void {
    if (this.#pooled) this.#pool?.give(this.#buffer);
    this.reset();
  }

  #enlarge(length: number): void {
    const capacity = Math.max(
      length,
      Math.min(
        powerOfTwo(Math.max(length, MIN_CAPACITY_BYTES)),
        this.#maxBytes,
      ),
    );
    const buffer = this.#pool?.take(capacity) ?? Buffer.allocUnsafe(capacity);
    this.#buffer.copy(buffer, 0, 0, this.#length);
    this.#copiedBytes += this.#length;
    if (this.#pooled) this.#pool?.give(this.#buffer);
    this.#pooled = this.#pool !== undefined;
    this.#buffer = buffer;
  }
}

function powerOfTwo(atLeast: number): number {
  return 2 ** Math.ceil(Math.log2(atLeast));
}
