import type { Millis, Timestamp } from "../../core/time.ts";

/** Mean of values whose weight decays exponentially with their age. */
export class DecayingMean {
  readonly #windowMs: Millis;
  #sum = 0;
  #weight = 0;
  #updatedAt = 0 as Timestamp;

  private constructor(windowMs: Millis) {
    this.#windowMs = windowMs;
  }

  /** `windowMs` is the time in which a value's weight decays to 1/e. */
  static create(windowMs: Millis): DecayingMean {
    return new DecayingMean(windowMs);
  }

  add(value: number, now: Timestamp): void {
    const kept = Math.exp((this.#updatedAt - now) / this.#windowMs);
    this.#sum = this.#sum * kept + value;
    this.#weight = this.#weight * kept + 1;
    this.#updatedAt = now;
  }

  /** The mean; 0 without values. */
  get mean(): number {
    return this.#weight === 0 ? 0 : this.#sum / this.#weight;
  }
}
