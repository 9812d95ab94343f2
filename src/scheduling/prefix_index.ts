import type { Digest, UpstreamId } from "../core/id.ts";
import type { Timestamp } from "../core/time.ts";
import { BLOCK_TOKENS } from "../wire/engine.ts";
import { HeldParts } from "./held/held_parts.ts";

/** Blocks kept for one engine; the least recently stored is removed first. */
const MAX_BLOCKS = 4_096;
const MAX_ENGINES = 1_024;
/** Engines tell what they evict, so that blocks have no age. */
const UNTIMED = 0 as Timestamp;

/** Prefix blocks that each engine probably has in its KV cache; a hint only, because cache events may be missing. */
export class PrefixIndex {
  readonly #held = new Map<UpstreamId, HeldParts<Digest>>();

  private constructor() {}

  static create(): PrefixIndex {
    return new PrefixIndex();
  }

  /** Counts the leading blocks that the engine probably holds. */
  hits(engine: UpstreamId, blocks: readonly Digest[]): number {
    return this.#held.get(engine)?.countLeading(blocks) ?? 0;
  }

  /** Records that the engine holds these blocks. */
  store(engine: UpstreamId, blocks: readonly Digest[]): void {
    const parts = blocks.map((key) => ({ key, tokens: BLOCK_TOKENS }));
    this.#getOrCreate(engine)?.store(parts, UNTIMED);
  }

  /** Records that the engine has evicted these blocks. */
  evict(engine: UpstreamId, blocks: readonly Digest[]): void {
    this.#held.get(engine)?.evict(blocks);
  }

  /** Removes all blocks of the engine. */
  clear(engine: UpstreamId): void {
    this.#held.delete(engine);
  }

  #getOrCreate(engine: UpstreamId): HeldParts<Digest> | undefined {
    const known = this.#held.get(engine);
    if (known !== undefined) return known;
    if (this.#held.size >= MAX_ENGINES) return undefined;
    const fresh = HeldParts.create<Digest>({ maxParts: MAX_BLOCKS });
    this.#held.set(engine, fresh);
    return fresh;
  }
}
