import type { Digest, IdempotencyKey, TeamId } from "../core/id.ts";
import type { Timestamp } from "../core/time.ts";

/** The answer of a call that has run. */
export type CallAnswer = Readonly<{
  status: number;
  answer?: Readonly<{ contentType: string; body: string }>;
}>;

/** A call that this daemon has started under a key that it issued. */
export type IssuedCall = Readonly<{
  digest: Digest;
  deadlineAt: Timestamp;
  /** When the key was issued. */
  issuedAt: Timestamp;
  outcome?: CallAnswer;
}>;

/** The home's memory of the calls that were started under its keys; it refuses rather than forgets. */
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

  /** Calls under keys that were issued at this time or before may have been forgotten. */
  get knownSince(): Timestamp {
    return this.#knownSince;
  }

  lookup(team: TeamId, key: IdempotencyKey): IssuedCall | undefined {
    return this.#calls.get(callKey(team, key));
  }

  /** Notes that a call is about to start; returns false when there is no room. */
  begin(team: TeamId, key: IdempotencyKey, call: IssuedCall): boolean {
    if (this.#calls.size >= this.#max) return false;
    this.#calls.set(callKey(team, key), call);
    return true;
  }

  /** Keeps how a call ended. */
  end(team: TeamId, key: IdempotencyKey, outcome: CallAnswer): void {
    const call = this.lookup(team, key);
    if (call === undefined) return;
    this.#calls.set(callKey(team, key), { ...call, outcome });
  }

  /** Forgets a call of which nothing was sent. */
  release(team: TeamId, key: IdempotencyKey): void {
    this.#calls.delete(callKey(team, key));
  }

  /** Forgets calls under keys that were issued before a time. */
  forgetBefore(time: Timestamp): void {
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
