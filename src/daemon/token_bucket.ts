import { type Millis, SECOND_MS } from "../core/time.ts";

/** Token bucket with a burst limit; the rate may differ from call to call. */
export class TokenBucket {
  readonly #burstMs: Millis;
  #tokens = 1;
  #refilledAtMs = performance.now();

  private constructor(burstMs: Millis) {
    this.#burstMs = burstMs;
  }

  /** The bucket holds at most the tokens that the rate yields in `burstMs`, and at least one. */
  static create(burstMs: Millis): TokenBucket {
    return new TokenBucket(burstMs);
  }

  /** Takes a token and returns 0, or returns the milliseconds until a token is available. */
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
