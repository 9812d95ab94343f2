import type { Digest } from "../../src/core/id.ts";

/** A block of one model version and adapter: its weights, a space, its digest. */
export type BlockKey = string;

/** Returns the digest within a block key. */
export function keyDigest(key: BlockKey): Digest {
  return key.slice(key.lastIndexOf(" ") + 1) as Digest;
}

/** Cached prefix blocks: those in use by running prompts, and idle ones in order of last use. */
export class PrefixCache {
  readonly #inUse = new Map<BlockKey, number>();
  /** Least recently used first; a prefix's later blocks come before its earlier ones. */
  readonly #idle = new Set<BlockKey>();

  private constructor() {}

  static create(): PrefixCache {
    return new PrefixCache();
  }

  get inUseBlocks(): number {
    return this.#inUse.size;
  }

  get idleBlocks(): number {
    return this.#idle.size;
  }

  /** Counts the leading blocks that are cached. */
  hits(keys: readonly BlockKey[]): number {
    let count = 0;
    for (const key of keys) {
      if (!this.#inUse.has(key) && !this.#idle.has(key)) break;
      count += 1;
    }
    return count;
  }

  /** Marks a cached block as in use once more; returns whether it was idle. */
  use(key: BlockKey): boolean {
    const users = this.#inUse.get(key) ?? 0;
    this.#inUse.set(key, users + 1);
    return this.#idle.delete(key);
  }

  /** Adds a block that a running prompt has computed; returns whether it was cached before. */
  store(key: BlockKey): boolean {
    const known = this.#inUse.has(key) || this.#idle.has(key);
    this.use(key);
    return known;
  }

  /** Ends the use of the first `count` blocks; those that nobody uses become idle. */
  release(keys: readonly BlockKey[], count: number): void {
    for (let i = count - 1; i >= 0; i -= 1) {
      const key = keys[i]!;
      const users = (this.#inUse.get(key) ?? 1) - 1;
      if (users > 0) {
        this.#inUse.set(key, users);
      } else {
        this.#inUse.delete(key);
        this.#idle.add(key);
      }
    }
  }

  /** Evicts the least recently used idle blocks down to `limit`; returns them. */
  trim(limit: number): BlockKey[] {
    const evicted: BlockKey[] = [];
    let excess = this.#idle.size - limit;
    if (excess <= 0) return evicted;
    for (const key of this.#idle) {
      if (excess <= 0) break;
      evicted.push(key);
      excess -= 1;
    }
    for (const key of evicted) this.#idle.delete(key);
    return evicted;
  }

  /** Forgets everything. */
  clear(): void {
    this.#inUse.clear();
    this.#idle.clear();
  }
}
