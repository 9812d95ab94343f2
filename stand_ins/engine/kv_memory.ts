import type { PlanId } from "../../src/core/id.ts";
import type { Millis, Timestamp } from "../../src/core/time.ts";
import { type BlockKey, PrefixCache } from "./prefix_cache.ts";

/** Memory that a plan holds on this engine. */
export type HeldMemory = {
  readonly plan: PlanId;
  owner: string;
  tokens: number;
  ttlMs: Millis;
  expiresAt: Timestamp;
  /** Tokens that segments and imports take up. */
  used: number;
  /** Tokens of earlier segments that were imported; prefill over them is local. */
  imported: number;
  /** Segments whose prefill is complete. */
  readonly segments: { from: number; to: number }[];
};

/** The KV memory of one engine: running prompts, reservations, and the prefix cache in what is left. */
export class KvMemory {
  readonly cache = PrefixCache.create();
  readonly held = new Map<PlanId, HeldMemory>();
  readonly #capacity: number;
  readonly #blockTokens: number;
  #running = 0;
  #reserved = 0;

  private constructor(capacityTokens: number, blockTokens: number) {
    this.#capacity = capacityTokens;
    this.#blockTokens = blockTokens;
  }

  static create(capacityTokens: number, blockTokens: number): KvMemory {
    return new KvMemory(capacityTokens, blockTokens);
  }

  /** Tokens that neither running prompts nor reservations hold; idle cached blocks count as free. */
  get freeTokens(): number {
    return this.#capacity - this.#running - this.#reserved -
      this.cache.inUseBlocks * this.#blockTokens;
  }

  /** Takes memory for a running prompt of `total` tokens; returns its cached blocks, or nothing if it does not fit. */
  take(keys: readonly BlockKey[], total: number): number | undefined {
    const hits = this.cache.hits(keys);
    const own = total - hits * this.#blockTokens;
    for (let i = 0; i < hits; i += 1) this.cache.use(keys[i]!);
    if (own > this.freeTokens) {
      this.cache.release(keys, hits);
      return undefined;
    }
    this.#running += own;
    return hits;
  }

  /** Moves computed blocks from `from` on into the cache; returns those that are new there. */
  store(keys: readonly BlockKey[], from: number): BlockKey[] {
    const stored: BlockKey[] = [];
    for (let i = from; i < keys.length; i += 1) {
      const key = keys[i]!;
      if (!this.cache.store(key)) stored.push(key);
    }
    this.#running -= (keys.length - from) * this.#blockTokens;
    return stored;
  }

  /** Counts the cached blocks that a plan's first segment copies into its reservation. */
  reuse(keys: readonly BlockKey[]): number {
    const hits = this.cache.hits(keys);
    for (let i = 0; i < hits; i += 1) this.cache.use(keys[i]!);
    this.cache.release(keys, hits);
    return hits;
  }

  /** Copies a plan's first segment into the cache; returns the blocks that are new there. */
  copy(keys: readonly BlockKey[]): BlockKey[] {
    const stored = keys.filter((key) => !this.cache.store(key));
    this.cache.release(keys, keys.length);
    return stored;
  }

  /** Gives back a running prompt's memory: its own tokens and the use of its first `blocks` blocks. */
  give(
    keys: readonly BlockKey[],
    options: { blocks: number; total: number },
  ): void {
    this.cache.release(keys, options.blocks);
    this.#running -= options.total - options.blocks * this.#blockTokens;
  }

  /** Changes a reservation by `tokens`, which must fit into the free memory. */
  reserve(tokens: number): void {
    this.#reserved += tokens;
  }

  /** Evicts idle blocks that no longer fit; returns them. */
  trim(): BlockKey[] {
    const limit = Math.floor(this.freeTokens / this.#blockTokens);
    return this.cache.trim(Math.max(0, limit));
  }

  /** Forgets everything. */
  clear(): void {
    this.cache.clear();
    this.held.clear();
    this.#running = 0;
    this.#reserved = 0;
  }
}
