import type { IdempotencyKey, RecordId, TeamId } from "../core/id.ts";
import type { Timestamp } from "../core/time.ts";

/** A claim under which no call was sent, nor will be. */
export type AbandonedClaim = Readonly<{
  claim: RecordId;
  team: TeamId;
  key: IdempotencyKey;
  abandonedAt: Timestamp;
}>;

/** Claims abandoned before a call was sent; each is released once the log shows that it holds its key. */
export class AbandonedClaims {
  readonly #max: number;
  readonly #claims = new Map<RecordId, AbandonedClaim>();

  private constructor(max: number) {
    this.#max = max;
  }

  static create(options: { max: number }): AbandonedClaims {
    return new AbandonedClaims(options.max);
  }

  /** Adds a claim, evicting the oldest beyond `max`; the only loss is that the evicted claim's key isn't released. */
  add(claim: AbandonedClaim): void {
    this.#claims.set(claim.claim, claim);
    const oldest = this.#claims.keys().next().value;
    if (this.#claims.size > this.#max && oldest !== undefined) {
      this.#claims.delete(oldest);
    }
  }

  has(claim: RecordId | undefined): boolean {
    return claim !== undefined && this.#claims.has(claim);
  }

  /** Removes claims that were abandoned before a time. */
  deleteBefore(time: Timestamp): void {
    for (const [id, claim] of this.#claims) {
      if (claim.abandonedAt >= time) return;
      this.#claims.delete(id);
    }
  }
}
