import { type Millis, SECOND_MS } from "../core/time.ts";

/** Allows a rate on average, with a short burst; the rate may change at any time. */
export class TokenBucket {
  readonly #burstMs: Millis;
  #tokens = 1;
  #refilledAtMs = performance.now();

  private constructor(burstMs: Millis) {
    this.#burstMs = burstMs;
  }

  /** The burst is what the rate gives in `burstMs`, at least one token. */
  static create(burstMs: Millis): TokenBucket {
    return new TokenBucket(burstMs);
  }

  /** Takes a token and returns 0, or returns the milliseconds until there is one. */
  take(perSecond: number): Millis {
    const now = performance.now();
    const capacity = Math.max(1, (perSecond * this.#burstMs) / SECOND_MS);
    const refill = ((now - this.#refilledAtMs) * perSecond) / SECOND_MS;
    this.#tokens = Math.min(capacity, this.#tokens + refill);
    this.#refilledAtMs = now;
    if (this.#tokens < 1) {
      return Math.ceil(((1 - this.#tokens) * SECOND_MS) / perSecond);
    }
    this.#tokens -= 1;
    return 0;
  }
}
