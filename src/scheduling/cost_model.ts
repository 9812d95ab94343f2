import type { Millis } from "../core/time.ts";

/** Cost per token at position 0, before any observation. */
const INITIAL_MS_PER_TOKEN = 0.1;
/** Growth of the cost per token with each position, before any observation. */
const INITIAL_SLOPE_MS = 1e-7;
/** Weight of each of the two initial points of the fit, as tokens observed. */
const PRIOR_TOKENS = 20_000;
/** Position of the second initial point; the first is at 0. */
const PRIOR_SPAN_TOKENS = 100_000;
/** Factor by which each observation reduces the weight of all earlier ones. */
const DECAY = 0.995;
/** Largest weight of one observation, so that a single long prompt does not outweigh all others. */
const MAX_WEIGHT_TOKENS = 50_000;
const MIN_MS_PER_TOKEN = 0.001;

/** Estimates prefill time from observations; a token costs `msPerToken + slopeMs * position` milliseconds. */
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

  /** Predicted prefill time of the tokens in [`from`, `to`) on an otherwise idle engine. */
  prefillMs(from: number, to: number): Millis {
    const count = to - from;
    return count * (this.#msPerToken + this.#slopeMs * (from + to) / 2);
  }

  /** Records that the prefill of the tokens in [`from`, `to`) took `ms`. */
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

  /** Fits the time per token over the mean position by weighted least squares. */
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
