import type { Digest, IdempotencyKey, TeamId } from "../core/id.ts";
import type { Timestamp } from "../core/time.ts";

/** The answer of a call that has run. */
export type CallAnswer = Readonly<{
  status: number;
  answer?: Readonly<{ contentType: string; body: string }>;
}>;

/** A call that this daemon started under a key that it issued. */
export type IssuedCall = Readonly<{
  digest: Digest;
  deadlineAt: Timestamp;
  /** When the key was issued. */
  issuedAt: Timestamp;
  outcome?: CallAnswer;
}>;

/** Calls under the keys that this daemon issued; when full, it refuses new calls instead of evicting old ones. */
export class IssuedCalls {
  readonly #max: number;
  readonly #calls = new Map<string, IssuedCall>();
  #knownSince = 0 as Timestamp;

  private constructor(max: number) {
    this.#max = max;
  }

  static create(options: { max: number }): IssuedCalls {
    return new IssuedCalls(options.max);
  }

  /** Calls under keys issued at or before this time may have been removed. */
  get knownSince(): Timestamp {
    return this.#knownSince;
  }

  lookup(team: TeamId, key: IdempotencyKey): IssuedCall | undefined {
    return this.#calls.get(callKey(team, key));
  }

  /** Records a call that is about to start; returns false if there is no room. */
  begin(team: TeamId, key: IdempotencyKey, call: IssuedCall): boolean {
    if (this.#calls.size >= this.#max) return false;
    this.#calls.set(callKey(team, key), call);
    return true;
  }

  /** Records the outcome of a call. */
  end(team: TeamId, key: IdempotencyKey, outcome: CallAnswer): void {
    const call = this.lookup(team, key);
    if (call === undefined) return;
    this.#calls.set(callKey(team, key), { ...call, outcome });
  }

  /** Removes a call that was not sent. */
  release(team: TeamId, key: IdempotencyKey): void {
    this.#calls.delete(callKey(team, key));
  }

  /** Removes calls under keys that were issued before a time. */
  deleteBefore(time: Timestamp): void {
    for (const [key, call] of this.#calls) {
      if (call.issuedAt >= time) continue;
      this.#calls.delete(key);
      this.#knownSince = Math.max(this.#knownSince, call.issuedAt) as Timestamp;
    }
  }
}

function callKey(team: TeamId, key: IdempotencyKey): string {
  return `${team.length}:${team}${key}`;
}
