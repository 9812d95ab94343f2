import { Buffer } from "node:buffer";

/** Smaller buffers are not kept. */
const MIN_KEPT_BYTES = 64 << 10;

/** Keeps buffers that are no longer used for the next ones of their size, instead of leaving them to be collected. */
export class BufferPool {
  readonly #maxBytes: number;
  readonly #free = new Map<number, Buffer[]>();
  #freeBytes = 0;

  private constructor(maxBytes: number) {
    this.#maxBytes = maxBytes;
  }

  /** Builds a pool that keeps at most `maxBytes` of unused buffers. */
  static create(options: Readonly<{ maxBytes: number }>): BufferPool {
    return new BufferPool(options.maxBytes);
  }

  /** A buffer with any content. */
  take(bytes: number): Buffer {
    const kept = this.#free.get(bytes)?.pop();
    if (kept === undefined) return Buffer.allocUnsafe(bytes);
    this.#freeBytes -= bytes;
    return kept;
  }

  /** Takes back a buffer that nothing refers to any more. */
  give(buffer: Buffer): void {
    const bytes = buffer.length;
    if (bytes < MIN_KEPT_BYTES) return;
    if (this.#freeBytes + bytes > this.#maxBytes) return;
    const free = this.#free.get(bytes);
    if (free === undefined) this.#free.set(bytes, [buffer]);
    else free.push(buffer);
    this.#freeBytes += bytes;
  }

  /** Leaves all unused buffers to be collected. */
  clear(): void {
    this.#free.clear();
    this.#freeBytes = 0;
  }
}
