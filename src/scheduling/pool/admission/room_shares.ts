import type { UpstreamId } from "../../../core/id.ts";
import type { Millis, Timestamp } from "../../../core/time.ts";
import type { Candidate } from "../candidate.ts";

/** Kinds of prompts that compete for engines: those that one engine serves at once, and those that are split. */
export type PromptClass = "short" | "long";

/** Time in which the offered load decays to 1/e: long against a pass, short against a crest. */
const DECAY_MS: Millis = 1_000;
/** Fraction of the engines' time that prompts can use before they make each other late. */
const USABLE_FRACTION = 0.75;

type Offered = { ms: number; weighted: number };

/**
 * Divides the engines between short and long prompts in proportion to the engine time that each offers, by rank, while
 * both together offer more than there is.
 * Load pattern: a crest of all kinds. Short prompts are placed at once and would take all engines, whose streams keep
 * long prompts out or are made late by their parts.
 */
export class RoomShares {
  readonly #offered: Record<PromptClass, Offered> = {
    short: { ms: 0, weighted: 0 },
    long: { ms: 0, weighted: 0 },
  };
  #decayedAt = 0 as Timestamp;
  #lackedAt = -Infinity as Timestamp;

  static create(): RoomShares {
    return new RoomShares();
  }

  /** Counts a prompt that asks for `engineMs`; `weight` is its rank's. */
  offer(
    promptClass: PromptClass,
    now: Timestamp,
    prompt: Readonly<{ engineMs: Millis; weight: number }>,
  ): void {
    this.#decay(now);
    const offered = this.#offered[promptClass];
    offered.ms += prompt.engineMs;
    offered.weighted += prompt.engineMs * prompt.weight;
  }

  /** Records that a prompt found no engine on which it is in time. */
  lacked(now: Timestamp): void {
    this.#lackedAt = now;
  }

  /** Engines that short prompts may use, the fullest first; undefined while there is room for all. */
  shortEngines(
    candidates: readonly Candidate[],
    now: Timestamp,
  ): ReadonlySet<UpstreamId> | undefined {
    if (now - this.#lackedAt > DECAY_MS) return undefined;
    this.#decay(now);
    const { short, long } = this.#offered;
    const needed = (offered: Offered) =>
      offered.ms / DECAY_MS / USABLE_FRACTION;
    const total = candidates.length;
    if (needed(short) + needed(long) <= total) return undefined;
    const weighted = short.weighted / (short.weighted + long.weighted);
    const count = Math.min(
      needed(short),
      Math.max(total - needed(long), total * weighted),
    );
    const byStreams = candidates.map(({ id, load }) => ({
      id,
      streams: load.sensitiveStreams,
    })).sort((a, b) => b.streams - a.streams);
    return new Set(byStreams.slice(0, Math.ceil(count)).map(({ id }) => id));
  }

  #decay(now: Timestamp): void {
    const factor = Math.exp(-(now - this.#decayedAt) / DECAY_MS);
    this.#decayedAt = now;
    for (const offered of Object.values(this.#offered)) {
      offered.ms *= factor;
      offered.weighted *= factor;
    }
  }
}
