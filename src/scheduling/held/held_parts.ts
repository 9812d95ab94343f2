import type { Millis, Timestamp } from "../../core/time.ts";

/** A part of a prompt that an engine has read, under a key that also stands for what precedes it. */
export type HeldPart<Key extends string> = Readonly<
  { key: Key; tokens: number }
>;

/** For how long parts are believed to be held without use, and how many of their tokens fit beside running requests. */
export type HeldBounds = Readonly<
  { now: Timestamp; heldMs: Millis; freeTokens: number }
>;

/** A leading part that an engine is believed to hold. */
export type BelievedPart = Readonly<{
  tokens: number;
  /** From 0 to 1; falls with the time since the part was last used. */
  confidence: number;
}>;

type Entry = {
  readonly tokens: number;
  /** Running requests that use the part, which keeps the engine from evicting it. */
  users: number;
  usedAt: Timestamp;
};

/**
 * What one engine is believed to hold of prompts, least recently used first. A hint only: what is believed is bounded by
 * the time since its last use, by the engine's memory and by a number of parts.
 */
export class HeldParts<Key extends string> {
  readonly #maxParts: number;
  readonly #entries = new Map<Key, Entry>();

  private constructor(maxParts: number) {
    this.#maxParts = maxParts;
  }

  static create<Key extends string>(
    options: Readonly<{ maxParts: number }>,
  ): HeldParts<Key> {
    return new HeldParts(options.maxParts);
  }

  /** Number of parts that are believed to be held. */
  get size(): number {
    return this.#entries.size;
  }

  /** Records that the engine holds these parts, and uses them until `release` if they are `inUse`. */
  store(
    parts: readonly HeldPart<Key>[],
    now: Timestamp,
    options: Readonly<{ inUse?: boolean }> = {},
  ): void {
    for (const { key, tokens } of parts) {
      const users = this.#entries.get(key)?.users ?? 0;
      this.#entries.delete(key);
      const added = options.inUse === true ? 1 : 0;
      this.#entries.set(key, { tokens, users: users + added, usedAt: now });
    }
    this.#trim();
  }

  /** Records that a request which used these parts has ended. */
  release(parts: readonly HeldPart<Key>[], now: Timestamp): void {
    for (const { key } of parts) {
      const entry = this.#entries.get(key);
      if (entry === undefined) continue;
      this.#entries.delete(key);
      const users = Math.max(0, entry.users - 1);
      this.#entries.set(key, { ...entry, users, usedAt: now });
    }
  }

  /** Records that the engine has evicted these parts. */
  evict(keys: readonly Key[]): void {
    for (const key of keys) this.#entries.delete(key);
  }

  /** Forgets all parts, as of an upstream whose process was replaced. */
  clear(): void {
    this.#entries.clear();
  }

  /** Counts the leading parts that are held, whatever their age. */
  countLeading(keys: readonly Key[]): number {
    const missing = keys.findIndex((key) => !this.#entries.has(key));
    return missing < 0 ? keys.length : missing;
  }

  /** The leading parts that are believed to be held within the bounds. */
  leading(
    parts: readonly HeldPart<Key>[],
    bounds: HeldBounds,
  ): readonly BelievedPart[] {
    const believed: BelievedPart[] = [];
    if (this.#entries.size === 0) return believed;
    const evicted = this.#evictedBy(bounds);
    for (const { key, tokens } of parts) {
      const entry = this.#entries.get(key);
      if (entry === undefined || evicted.has(key)) break;
      const ageMs = entry.users > 0 ? 0 : bounds.now - entry.usedAt;
      if (ageMs >= bounds.heldMs) break;
      const confidence = 1 - ageMs / bounds.heldMs;
      believed.push({ tokens: Math.min(tokens, entry.tokens), confidence });
    }
    return believed;
  }

  /** Unused parts that no longer fit: an engine evicts those first that were not used for the longest. */
  #evictedBy({ now, heldMs, freeTokens }: HeldBounds): ReadonlySet<Key> {
    const unused = [...this.#entries].filter(([, { users, usedAt }]) =>
      users === 0 && now - usedAt < heldMs
    );
    const evicted = new Set<Key>();
    let excess = -freeTokens;
    for (const [, { tokens }] of unused) excess += tokens;
    for (const [key, { tokens }] of unused) {
      if (excess <= 0) break;
      evicted.add(key);
      excess -= tokens;
    }
    return evicted;
  }

  #trim(): void {
    let excess = this.#entries.size - this.#maxParts;
    for (const key of this.#entries.keys()) {
      if (excess <= 0) return;
      this.#entries.delete(key);
      excess -= 1;
    }
  }
}
