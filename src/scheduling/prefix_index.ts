import type { Digest, UpstreamId } from "../core/id.ts";

/** Blocks kept for one engine; the least recently stored is removed first. */
const MAX_BLOCKS = 4_096;
const MAX_ENGINES = 1_024;

/** Prefix blocks that each engine probably has in its KV cache; a hint only, because cache events may be missing. */
export class PrefixIndex {
  readonly #blocks = new Map<UpstreamId, Set<Digest>>();

  private constructor() {}

  static create(): PrefixIndex {
    return new PrefixIndex();
  }

  /** Counts the leading blocks that the engine probably holds. */
  hits(engine: UpstreamId, blocks: readonly Digest[]): number {
    const held = this.#blocks.get(engine);
    if (held === undefined) return 0;
    let count = 0;
    while (count < blocks.length && held.has(blocks[count]!)) count += 1;
    return count;
  }

  /** Records that the engine holds these blocks. */
  store(engine: UpstreamId, blocks: readonly Digest[]): void {
    const held = this.#getOrCreate(engine);
    if (held === undefined) return;
    for (const block of blocks) {
      held.delete(block);
      held.add(block);
    }
    this.#trim(held);
  }

  /** Records that the engine has evicted these blocks. */
  evict(engine: UpstreamId, blocks: readonly Digest[]): void {
    const held = this.#blocks.get(engine);
    for (const block of blocks) held?.delete(block);
  }

  /** Removes all blocks of the engine. */
  clear(engine: UpstreamId): void {
    this.#blocks.delete(engine);
  }

  #getOrCreate(engine: UpstreamId): Set<Digest> | undefined {
    const known = this.#blocks.get(engine);
    if (known !== undefined) return known;
    if (this.#blocks.size >= MAX_ENGINES) return undefined;
    const fresh = new Set<Digest>();
    this.#blocks.set(engine, fresh);
    return fresh;
  }

  #trim(held: Set<Digest>): void {
    let excess = held.size - MAX_BLOCKS;
    for (const block of held) {
      if (excess <= 0) return;
      held.delete(block);
      excess -= 1;
    }
  }
}
