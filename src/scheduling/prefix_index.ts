import type { Digest, UpstreamId } from "../core/id.ts";

/** Blocks that are remembered for one engine; the one named longest ago is forgotten first. */
const MAX_BLOCKS = 4_096;
const MAX_ENGINES = 1_024;

/** Which prefix blocks each engine is believed to hold; only a hint. */
export class PrefixIndex {
  readonly #blocks = new Map<UpstreamId, Set<Digest>>();

  private constructor() {}

  static create(): PrefixIndex {
    return new PrefixIndex();
  }

  /** Counts the leading blocks that the engine is believed to hold. */
  hits(engine: UpstreamId, blocks: readonly Digest[]): number {
    const held = this.#blocks.get(engine);
    if (held === undefined) return 0;
    let count = 0;
    while (count < blocks.length && held.has(blocks[count]!)) count += 1;
    return count;
  }

  /** Notes that the engine holds these blocks. */
  store(engine: UpstreamId, blocks: readonly Digest[]): void {
    const held = this.#getOrCreate(engine);
    if (held === undefined) return;
    for (const block of blocks) {
      held.delete(block);
      held.add(block);
    }
    this.#trim(held);
  }

  /** Notes that the engine has dropped these blocks. */
  evict(engine: UpstreamId, blocks: readonly Digest[]): void {
    const held = this.#blocks.get(engine);
    for (const block of blocks) held?.delete(block);
  }

  /** Forgets what the engine held. */
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
