import type { Millis } from "../core/time.ts";

/** Rates before anything has been observed, and how much they weigh against observations. */
const INITIAL_MS_PER_TOKEN = 0.1;
const INITIAL_SLOPE_MS = 1e-7;
const PRIOR_TOKENS = 20_000;
const PRIOR_SPAN_TOKENS = 100_000;
/** Part of the weight of all earlier observations that each new one leaves. */
const DECAY = 0.995;
/** Weight of one observation, so that a single long prompt does not outweigh all others. */
const MAX_WEIGHT_TOKENS = 50_000;
const MIN_MS_PER_TOKEN = 0.001;

/** Learns the time of prefill as `tokenMs + slopeMs * position` for each token. */
export class CostModel {
  #sumWeight = 0;
  #sumX = 0;
  #sumY = 0;
  #sumXX = 0;
  #sumXY = 0;
  #msPerToken = INITIAL_MS_PER_TOKEN;
  #slopeMs = INITIAL_SLOPE_MS;

  private constructor() {
    for (const position of [0, PRIOR_SPAN_TOKENS]) {
      this.#add(position, INITIAL_MS_PER_TOKEN + INITIAL_SLOPE_MS * position, {
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
    return count * (this.#msPerToken + this.#slopeMs * (from + to) / 2);
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
    this.#sumWeight *= DECAY;
    this.#sumX *= DECAY;
    this.#sumY *= DECAY;
    this.#sumXX *= DECAY;
    this.#sumXY *= DECAY;
  }

  #add(x: number, y: number, options: Readonly<{ weight: number }>): void {
    const { weight } = options;
    this.#sumWeight += weight;
    this.#sumX += weight * x;
    this.#sumY += weight * y;
    this.#sumXX += weight * x * x;
    this.#sumXY += weight * x * y;
  }

  /** Weighted least squares of the time per token over the mean position. */
  #solve(): void {
    const spread = this.#sumWeight * this.#sumXX - this.#sumX * this.#sumX;
    const slope = spread > 0
      ? (this.#sumWeight * this.#sumXY - this.#sumX * this.#sumY) / spread
      : this.#slopeMs;
    this.#slopeMs = Math.max(0, slope);
    const tokenMs = (this.#sumY - this.#slopeMs * this.#sumX) / this.#sumWeight;
    this.#msPerToken = Math.max(MIN_MS_PER_TOKEN, tokenMs);
  }
}
