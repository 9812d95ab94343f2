import { type Millis, SECOND_MS, type Timestamp } from "../core/time.ts";
import { EvictingMap } from "./evicting_map.ts";
import { partOfKey } from "./suspect_key.ts";

/** Time after a success in which a crash does not count against a content. */
const CONTENT_WINDOW_MS: Millis = 60 * SECOND_MS;
/** The same for a part, of which each answer with it is a success. */
const PART_WINDOW_MS: Millis = 10 * CONTENT_WINDOW_MS;
/** Default capacity; more than run at a time, and the parts of twenty prompts with the longest list of parts. */
const MAX_KEYS = 65_536;

type Success = {
  readonly at: Timestamp;
  /** Last crash without another explanation that did not count, as it followed the success. */
  sparedAt?: Timestamp;
};

/** Contents and parts that ran successfully not long ago. */
export class RecentSuccesses {
  /** By key, the latest last. */
  readonly #successes: EvictingMap<Success>;

  private constructor(maxEntries: number) {
    this.#successes = EvictingMap.create({ maxEntries, isKept: () => false });
  }

  static create(
    options: Readonly<{ maxKeys?: number }> = {},
  ): RecentSuccesses {
    return new RecentSuccesses(options.maxKeys ?? MAX_KEYS);
  }

  record(key: string, now: Timestamp): void {
    this.#successes.set(key, { at: now });
    this.#successes.evict();
  }

  /** Time of the last success, as long as it is remembered. */
  lastAt(key: string): Timestamp | undefined {
    return this.#successes.get(key)?.at;
  }

  /** Whether the key ran successfully within its window. */
  has(key: string, now: Timestamp): boolean {
    const success = this.#successes.get(key);
    const windowMs = partOfKey(key) === undefined
      ? CONTENT_WINDOW_MS
      : PART_WINDOW_MS;
    return success !== undefined && now - success.at <= windowMs;
  }

  /**
   * Applies a crash that nothing else explains. Returns whether the success no longer counts: the attempt was sent
   * after an earlier such crash, and nothing was answered in between. Crashes at the same time count once, since
   * engines that fail together have sound requests aboard.
   */
  revoke(
    key: string,
    now: Timestamp,
    options: Readonly<{ sentAt: Timestamp }>,
  ): boolean {
    const success = this.#successes.get(key);
    if (success === undefined) return false;
    const { sparedAt } = success;
    if (sparedAt === undefined) success.sparedAt = now;
    if (sparedAt === undefined || options.sentAt <= sparedAt) return false;
    this.#successes.delete(key);
    return true;
  }
}
