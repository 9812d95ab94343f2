import { createHash, type Hash } from "node:crypto";
import xxhash from "xxhash-wasm";
import type { Digest } from "../core/id.ts";
import { BLOCK_TOKENS, BYTES_PER_TOKEN } from "../wire/engine.ts";

/** Bytes of text in one block of an engine's prefix cache. */
export const BLOCK_BYTES = BLOCK_TOKENS * BYTES_PER_TOKEN;

const BLOCK_DIGEST_DIGITS = 16;
const { h64Raw, create64 } = await xxhash();

/** Digests and size of a prompt's text. */
export type PromptDigest = Readonly<{
  /** SHA-256 of the whole text. */
  digest: Digest;
  /** Chained XXH64 of the complete blocks: the seed of a block is the digest of the block before it. */
  blocks: readonly Digest[];
  bytes: number;
}>;

/** Digests a prompt incrementally; chunks are neither copied nor retained. */
export class PromptDigester {
  readonly #promptHash: Hash = createHash("sha256");
  readonly #blocks: Digest[] = [];
  #seed = 0n;
  #partialBlock: ReturnType<typeof create64> | undefined;
  #partialBytes = 0;
  #bytes = 0;

  private constructor() {}

  static create(): PromptDigester {
    return new PromptDigester();
  }

  update(chunk: Uint8Array): void {
    this.#promptHash.update(chunk);
    this.#bytes += chunk.byteLength;
    let start = this.#fillPartialBlock(chunk);
    while (chunk.byteLength - start >= BLOCK_BYTES) {
      const block = chunk.subarray(start, start + BLOCK_BYTES);
      this.#addBlock(h64Raw(block, this.#seed));
      start += BLOCK_BYTES;
    }
    if (start < chunk.byteLength) this.#startBlock(chunk.subarray(start));
  }

  /** Returns the digests; the digester can't be used afterwards. */
  end(): PromptDigest {
    return {
      digest: this.#promptHash.digest("hex") as Digest,
      blocks: this.#blocks,
      bytes: this.#bytes,
    };
  }

  /** Appends to the partial block of earlier chunks; returns the number of bytes consumed. */
  #fillPartialBlock(chunk: Uint8Array): number {
    if (this.#partialBlock === undefined) return 0;
    const size = Math.min(BLOCK_BYTES - this.#partialBytes, chunk.byteLength);
    this.#partialBlock.update(chunk.subarray(0, size));
    this.#partialBytes += size;
    if (this.#partialBytes === BLOCK_BYTES) {
      this.#addBlock(this.#partialBlock.digest());
      this.#partialBlock = undefined;
    }
    return size;
  }

  #startBlock(bytes: Uint8Array): void {
    this.#partialBlock = create64(this.#seed);
    this.#partialBlock.update(bytes);
    this.#partialBytes = bytes.byteLength;
  }

  #addBlock(digest: bigint): void {
    this.#seed = digest;
    const hex = digest.toString(16).padStart(BLOCK_DIGEST_DIGITS, "0");
    this.#blocks.push(hex as Digest);
  }
}

/** Digests a complete prompt. */
export function digestPrompt(
  prompt: Uint8Array | readonly Uint8Array[],
): PromptDigest {
  const digester = PromptDigester.create();
  const chunks = prompt instanceof Uint8Array ? [prompt] : prompt;
  for (const chunk of chunks) digester.update(chunk);
  return digester.end();
}
