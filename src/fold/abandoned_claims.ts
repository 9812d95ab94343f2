import type { IdempotencyKey, RecordId, TeamId } from "../core/id.ts";
import type { Timestamp } from "../core/time.ts";

/** A claim under which nothing was sent and nothing ever will be. */
export type AbandonedClaim = Readonly<{
  claim: RecordId;
  team: TeamId;
  key: IdempotencyKey;
  abandonedAt: Timestamp;
}>;

/** Claims given up before anything was sent; each is released once the log shows that it holds its key. */
export class AbandonedClaims {
  readonly #max: number;
  readonly #claims = new Map<RecordId, AbandonedClaim>();

  private constructor(max: number) {
    this.#max = max;
  }

  static create(options: { max: number }): AbandonedClaims {
    return new AbandonedClaims(options.max);
  }

  /** Forgetting the oldest only means that its key is never released. */
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

  /** Forgets claims given up before a time. */
  forgetBefore(time: Timestamp): void {
    for (const [id, claim] of this.#claims) {
      if (claim.abandonedAt >= time) return;
      this.#claims.delete(id);
    }
  }
}
