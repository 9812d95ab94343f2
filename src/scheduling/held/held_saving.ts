import type { Millis } from "../../core/time.ts";
import type { BelievedPart } from "./held_parts.ts";

/** Prefill time of a prompt's first tokens on an otherwise idle engine. */
export type PrefillTime = (tokens: number) => Millis;

/**
 * Prefill time that an engine is expected to save on a prompt, as it still holds the beginning.
 * Load pattern: prompts with common beginnings, on engines that hold a beginning for a while. Each part counts as far as
 * it is believed, so that a stale belief doesn't outweigh a wait that is certain.
 */
export function expectedSavingMs(
  believed: readonly BelievedPart[],
  promptTokens: number,
  prefill: PrefillTime,
): Millis {
  let savingMs = 0;
  let from = 0;
  for (const { tokens, confidence } of believed) {
    // The last token is read in any case, as the first event follows from it.
    const to = Math.min(from + tokens, promptTokens - 1);
    if (to <= from) break;
    savingMs += confidence * (prefill(to) - prefill(from));
    from = to;
  }
  return savingMs;
}

/** A place for a prompt: what it costs the caller and the streams there, in ms, without the expected saving. */
export type HeldRating = Readonly<{ cost: Millis; savedMs: Millis }>;

/**
 * Chooses between the usual place and those that hold the prompt's beginning.
 * Load pattern: one hot beginning. Its holder is preferred only as long as the wait there, and what streams there lose,
 * stay below what is saved; then the prompt goes to the usual place, which holds the beginning from there on.
 */
export function weighHolders<Rating extends HeldRating>(
  usual: Rating,
  ratings: readonly Rating[],
): Rating {
  let best = usual;
  for (const rating of ratings) {
    const isCheaper = rating.cost - rating.savedMs < best.cost - best.savedMs;
    if (rating.savedMs > 0 && isCheaper) best = rating;
  }
  return best;
}
