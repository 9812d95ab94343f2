import { evictOldest } from "../core/evict_oldest.ts";

/** Share of the capacity that is made free at a time, as finding the oldest entry passes over those that were deleted. */
const EVICTED_SHARE = 1 / 16;

/** Limits of an `EvictingMap`. */
export type EvictingMapOptions<Value> = Readonly<{
  maxEntries: number;
  /** Whether an entry is evicted only if no other is left. */
  isKept: (value: Value) => boolean;
}>;

/** A map of bounded size, in the order of the last `set`, that evicts the oldest entries which aren't kept. */
export class EvictingMap<Value> {
  readonly #entries = new Map<string, Value>();
  readonly #options: EvictingMapOptions<Value>;

  private constructor(options: EvictingMapOptions<Value>) {
    this.#options = options;
  }

  static create<Value>(
    options: EvictingMapOptions<Value>,
  ): EvictingMap<Value> {
    return new EvictingMap(options);
  }

  get isFull(): boolean {
    return this.#entries.size > this.#options.maxEntries;
  }

  get(key: string): Value | undefined {
    return this.#entries.get(key);
  }

  /** Sets the newest entry; `evict` has to follow. */
  set(key: string, value: Value): void {
    this.#entries.delete(key);
    this.#entries.set(key, value);
  }

  delete(key: string): void {
    this.#entries.delete(key);
  }

  /** Evicts entries if there are more than the capacity. */
  evict(): void {
    if (!this.isFull) return;
    const { maxEntries, isKept } = this.#options;
    const maxLeft = Math.ceil(maxEntries * (1 - EVICTED_SHARE));
    for (const [key, value] of this.#entries) {
      if (this.#entries.size <= maxLeft) return;
      if (!isKept(value)) this.#entries.delete(key);
    }
    evictOldest(this.#entries, maxEntries);
  }

  [Symbol.iterator](): IterableIterator<[string, Value]> {
    return this.#entries[Symbol.iterator]();
  }
}
