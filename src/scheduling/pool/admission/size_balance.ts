import { evictOldest } from "../../../core/evict_oldest.ts";
import type { Millis, Timestamp } from "../../../core/time.ts";
import type { PlacementRequest } from "../pool_job.ts";

/** Time in which counts decay to 1/e; several prompts of each size come in it. */
const DECAY_MS: Millis = 15_000;
/** Sizes of one band differ by less than this factor. */
const BAND_FACTOR = Math.SQRT2;
/** Fraction of the mean share served that each size gets; half is what callers are promised, with a margin. */
const LEAST_SHARE = 0.6;

/** Kinds and sizes that are counted; the oldest goes first. */
const MAX_COUNTS = 1_024;

type Counts = { asked: number; served: number };
type Prompt = Pick<
  PlacementRequest,
  "service" | "targetMs" | "pauseMs" | "promptTokens"
>;

/**
 * Keeps count of how often prompts of each size are served, among those with the same aims.
 * Load pattern: a crest of long prompts. The largest bring least for each ms of engine time, and are all refused
 * unless some are preferred.
 */
export class SizeBalance {
  readonly #counts = new Map<string, Counts>();
  #decayedAt = 0 as Timestamp;

  static create(): SizeBalance {
    return new SizeBalance();
  }

  /** Counts a prompt that was placed or refused. */
  decided(prompt: Prompt, served: boolean, now: Timestamp): void {
    this.#decay(now);
    for (const key of [kindOf(prompt), sizeOf(prompt)]) {
      const counts = this.#countsOf(key);
      counts.asked += 1;
      if (served) counts.served += 1;
      this.#counts.set(key, counts);
      evictOldest(this.#counts, MAX_COUNTS);
    }
  }

  /** Whether prompts of this size are served much less often than the others. */
  isBehind(prompt: Prompt): boolean {
    const kind = this.#countsOf(kindOf(prompt));
    const size = this.#countsOf(sizeOf(prompt));
    const mean = kind.served / Math.max(1, kind.asked);
    return size.served < LEAST_SHARE * mean * size.asked;
  }

  #countsOf(key: string): Counts {
    return this.#counts.get(key) ?? { asked: 0, served: 0 };
  }

  #decay(now: Timestamp): void {
    const factor = Math.exp(-(now - this.#decayedAt) / DECAY_MS);
    this.#decayedAt = now;
    for (const counts of this.#counts.values()) {
      counts.asked *= factor;
      counts.served *= factor;
    }
  }
}

function kindOf({ service, targetMs, pauseMs }: Prompt): string {
  return `${service} ${targetMs} ${pauseMs}`;
}

function sizeOf(prompt: Prompt): string {
  const band = Math.round(
    Math.log(Math.max(1, prompt.promptTokens)) / Math.log(BAND_FACTOR),
  );
  return `${kindOf(prompt)} ${band}`;
}
