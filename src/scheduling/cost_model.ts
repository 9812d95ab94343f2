import type { Millis } from "../core/time.ts";

/** Rates before anything has been observed, and how much they weigh against observations. */
const FIRST_TOKEN_MS = 0.1;
const FIRST_SLOPE_MS = 1e-7;
const PRIOR_TOKENS = 20_000;
const PRIOR_SPAN_TOKENS = 100_000;
/** Part of the weight of all earlier observations that each new one leaves. */
const KEEP = 0.995;
/** Weight of one observation, so that a single long prompt does not outweigh all others. */
const MAX_WEIGHT_TOKENS = 50_000;
const MIN_TOKEN_MS = 0.001;

/** Learns the time of prefill as `tokenMs + slopeMs * position` for each token. */
export class CostModel {
  #weight = 0;
  #x = 0;
  #y = 0;
  #xx = 0;
  #xy = 0;
  #tokenMs = FIRST_TOKEN_MS;
  #slopeMs = FIRST_SLOPE_MS;

  private constructor() {
    for (const position of [0, PRIOR_SPAN_TOKENS]) {
      this.#add(position, FIRST_TOKEN_MS + FIRST_SLOPE_MS * position, {
        weight: PRIOR_TOKENS,
      });
    }
  }

  static create(): CostModel {
    return new CostModel();
  }

  /** Prefill time of the tokens from `from` up to `to` on an engine that does nothing else. */
  prefillMs(from: number, to: number): Millis {
    const count = to - from;
    return count * (this.#tokenMs + this.#slopeMs * (from + to) / 2);
  }

  /** Takes in that the tokens from `from` up to `to` took `ms`. */
  observe(from: number, to: number, ms: Millis): void {
    const count = to - from;
    if (count <= 0 || ms <= 0) return;
    this.#decay();
    this.#add((from + to) / 2, ms / count, {
      weight: Math.min(count, MAX_WEIGHT_TOKENS),
    });
    this.#solve();
  }

  #decay(): void {
    this.#weight *= KEEP;
    this.#x *= KEEP;
    this.#y *= KEEP;
    this.#xx *= KEEP;
    this.#xy *= KEEP;
  }

  #add(x: number, y: number, options: Readonly<{ weight: number }>): void {
    const { weight } = options;
    this.#weight += weight;
    this.#x += weight * x;
    this.#y += weight * y;
    this.#xx += weight * x * x;
    this.#xy += weight * x * y;
  }

  /** Weighted least squares of the time per token over the mean position. */
  #solve(): void {
    const spread = this.#weight * this.#xx - this.#x * this.#x;
    const slope = spread > 0
      ? (this.#weight * this.#xy - this.#x * this.#y) / spread
      : this.#slopeMs;
    this.#slopeMs = Math.max(0, slope);
    const tokenMs = (this.#y - this.#slopeMs * this.#x) / this.#weight;
    this.#tokenMs = Math.max(MIN_TOKEN_MS, tokenMs);
  }
}
