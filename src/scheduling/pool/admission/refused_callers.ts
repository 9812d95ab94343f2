import type { Millis, Timestamp } from "../../../core/time.ts";

/** Callers that are remembered; the oldest entry goes first. */
const MAX_CALLERS = 20_000;

/** Remembers when callers were refused first, by the digest of caller and content. */
export class RefusedCallers {
  readonly #refusedAt = new Map<string, Timestamp>();

  static create(): RefusedCallers {
    return new RefusedCallers();
  }

  /** Records a refusal; later ones of the same caller don't change the time. */
  refused(digest: string, now: Timestamp): void {
    if (this.#refusedAt.has(digest)) return;
    this.#refusedAt.set(digest, now);
    if (this.#refusedAt.size <= MAX_CALLERS) return;
    const [oldest] = this.#refusedAt.keys();
    this.#refusedAt.delete(oldest!);
  }

  /** Time for which a caller has waited since its first refusal within `withinMs`; 0 if there was none. */
  waitedMs(digest: string, now: Timestamp, withinMs: Millis): Millis {
    const at = this.#refusedAt.get(digest);
    if (at === undefined) return 0;
    if (now - at <= withinMs) return now - at;
    this.#refusedAt.delete(digest);
    return 0;
  }

  /** Forgets a caller that is served. */
  served(digest: string): void {
    this.#refusedAt.delete(digest);
  }
}
