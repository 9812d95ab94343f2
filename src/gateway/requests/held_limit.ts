import { addMs, type Millis, type Timestamp } from "../../core/time.ts";

/** Time within which a version of the configuration is known to all; until then clients may rely on the one before. */
const SPREAD_MS: Millis = 5_000;

type FormerLimit = Readonly<{ ms: Millis; until: Timestamp }>;

/** A time limit of clients. A longer one that was replaced holds on for as long as a client may rely on it. */
export class HeldLimit {
  #ms: Millis;
  #former: readonly FormerLimit[] = [];
  #isInitial = true;

  private constructor(initialMs: Millis) {
    this.#ms = initialMs;
  }

  /** Starts with a limit that no client knows of. */
  static create(initialMs: Millis): HeldLimit {
    return new HeldLimit(initialMs);
  }

  replace(ms: Millis, now: Timestamp): void {
    const held = this.#former.filter(({ until }) => until > now);
    const until = addMs(now, SPREAD_MS + this.#ms);
    this.#former = this.#isInitial || this.#ms <= ms
      ? held
      : [...held, { ms: this.#ms, until }];
    this.#isInitial = false;
    this.#ms = ms;
  }

  /** When a former limit ceases to hold; undefined if none does. */
  nextChangeAt(now: Timestamp): Timestamp | undefined {
    const ends = this.#former.map(({ until }) => until)
      .filter((until) => until > now);
    return ends.length === 0 ? undefined : Math.min(...ends) as Timestamp;
  }

  /** The limit that holds: the longest on which a client may rely. */
  at(now: Timestamp): Millis {
    const held = this.#former.filter(({ until }) => until > now);
    return Math.max(this.#ms, ...held.map(({ ms }) => ms));
  }
}
