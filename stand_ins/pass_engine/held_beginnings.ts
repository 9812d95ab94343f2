import {
  keyedParts,
  type LeadingPart,
  type PartKey,
} from "../../src/scheduling/held/leading_parts.ts";

type Beginning = { tokens: number; users: number; usedAt: number };

/** The beginnings of prompts that an engine holds for a while after their last use, as far as its memory allows. */
export class HeldBeginnings {
  readonly #heldMs: number;
  /** Least recently used first. */
  readonly #parts = new Map<PartKey, Beginning>();

  private constructor(heldMs: number) {
    this.#heldMs = heldMs;
  }

  static create(heldMs: number): HeldBeginnings {
    return new HeldBeginnings(heldMs);
  }

  /** Tokens from a prompt's start that needn't be read. */
  leadingTokens(parts: readonly LeadingPart[], now: number): number {
    let tokens = 0;
    for (const { key, tokens: size } of keyedParts(parts)) {
      const held = this.#parts.get(key);
      const isHeld = held !== undefined &&
        (held.users > 0 || now - held.usedAt < this.#heldMs);
      if (!isHeld) break;
      tokens += size;
    }
    return tokens;
  }

  /** Records that a prompt was read, and is being answered. */
  read(parts: readonly LeadingPart[], now: number): void {
    this.#use(parts, now, 1);
  }

  /** Records that a prompt which was read has been answered. */
  answered(parts: readonly LeadingPart[], now: number): void {
    this.#use(parts, now, -1);
  }

  /** Evicts what isn't in use and doesn't fit. */
  fit(freeTokens: number): void {
    let excess = -freeTokens;
    for (const { tokens, users } of this.#parts.values()) {
      if (users === 0) excess += tokens;
    }
    for (const [key, { tokens, users }] of this.#parts) {
      if (excess <= 0) return;
      if (users > 0) continue;
      this.#parts.delete(key);
      excess -= tokens;
    }
  }

  #use(parts: readonly LeadingPart[], now: number, change: number): void {
    for (const { key, tokens } of keyedParts(parts)) {
      const users = (this.#parts.get(key)?.users ?? 0) + change;
      this.#parts.delete(key);
      this.#parts.set(key, { tokens, users, usedAt: now });
    }
  }
}
