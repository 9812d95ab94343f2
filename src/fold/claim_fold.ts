import { z } from "zod";
import type {
  DaemonId,
  Digest,
  IdempotencyKey,
  RecordId,
  RequestId,
  TeamId,
} from "../core/id.ts";
import type { Timestamp } from "../core/time.ts";
import { countSchema, idSchema } from "../wire/brands.ts";
import { parseIssuedKey } from "./issued_key.ts";
import type { LogEntry } from "./log_reader.ts";

const subjectFields = {
  id: idSchema<RecordId>(),
  team: idSchema<TeamId>(),
  key: idSchema<IdempotencyKey>(),
};

/** Reserves a key for one request; the first claim of a team and key holds it unless released. */
export const ClaimSchema = z.object({
  type: z.literal("claim"),
  ...subjectFields,
  digest: idSchema<Digest>(),
  holder: idSchema<DaemonId>(),
  request: idSchema<RequestId>(),
  deadlineAt: countSchema<Timestamp>(),
}).readonly();
/** Releases a claim whose holder has sent no call and never will. */
export const ReleaseSchema = z.object({
  type: z.literal("release"),
  ...subjectFields,
  claim: idSchema<RecordId>(),
}).readonly();
/** Outcome of a call; `claim` is absent for an issued key, whose call only its home runs. */
export const OutcomeSchema = z.object({
  type: z.literal("outcome"),
  ...subjectFields,
  digest: idSchema<Digest>(),
  holder: idSchema<DaemonId>(),
  claim: idSchema<RecordId>().optional(),
  status: z.number().int(),
  /** Absent if the answer is too large to be recorded. */
  answer: z.object({ contentType: z.string(), body: z.string() }).optional(),
}).readonly();
/** Any record of the claims stream. */
export const ClaimRecordSchema = z.discriminatedUnion("type", [
  ClaimSchema,
  ReleaseSchema,
  OutcomeSchema,
]);
/** Any record of the claims stream. */
export type ClaimRecord = z.infer<typeof ClaimRecordSchema>;
/** Outcome of a call. */
export type RecordedOutcome = z.infer<typeof OutcomeSchema>;

/** State of a key. */
export type ClaimState = Readonly<{
  claim: RecordId | undefined;
  digest: Digest;
  holder: DaemonId;
  deadlineAt: Timestamp;
  /** When the claim was appended to the log. */
  at: Timestamp;
  released: boolean;
  outcome?: Readonly<{ status: number; answer?: RecordedOutcome["answer"] }>;
}>;

/** Bounds of the fold's memory. */
export type ClaimFoldOptions = Readonly<
  { maxClaims: number; maxAnswerChars: number }
>;

/** State of the claims stream: the holder of each key and the outcome of its call. */
export class ClaimFold {
  readonly #options: ClaimFoldOptions;
  readonly #claims = new Map<string, ClaimState>();
  /** Keys with an answer, oldest first. */
  readonly #answers = new Map<string, number>();
  #answerChars = 0;
  #knownSince = 0 as Timestamp;

  private constructor(options: ClaimFoldOptions) {
    this.#options = options;
  }

  static create(options: ClaimFoldOptions): ClaimFold {
    return new ClaimFold(options);
  }

  /** Claims appended at or before this time may have been evicted. */
  get knownSince(): Timestamp {
    return this.#knownSince;
  }

  get size(): number {
    return this.#claims.size;
  }

  /** Clears the state before the stream is read again from the start. */
  restart(): void {
    this.#claims.clear();
    this.#answers.clear();
    this.#answerChars = 0;
  }

  /** Returns the state of a key, also if its claim is released. */
  lookup(team: TeamId, key: IdempotencyKey): ClaimState | undefined {
    return this.#claims.get(claimKey(team, key));
  }

  /** Returns the state of a key whose claim is not released. */
  activeClaim(team: TeamId, key: IdempotencyKey): ClaimState | undefined {
    const claimed = this.lookup(team, key);
    return claimed?.released === true ? undefined : claimed;
  }

  /** Folds one record; returns it, or undefined if it is not a valid record of this stream. */
  foldRecord(entry: LogEntry): ClaimRecord | undefined {
    const parsed = ClaimRecordSchema.safeParse(entry.value);
    if (!parsed.success) return undefined;
    const record = parsed.data;
    if (record.type === "claim") this.#recordClaim(record, entry.at);
    if (record.type === "release") this.#recordRelease(record);
    if (record.type === "outcome") this.#recordOutcome(record, entry.at);
    return record;
  }

  /**
   * Evicts the oldest claims while they were appended before `time` or exceed `maxClaims`; returns their count.
   * Stops at the first other claim, since the log is nearly in order of time.
   */
  deleteBefore(time: Timestamp): number {
    let count = 0;
    for (const [key, claimed] of this.#claims) {
      const full = this.#claims.size > this.#options.maxClaims;
      if (claimed.at >= time && !full) break;
      this.#forget(key, claimed);
      count += 1;
    }
    return count;
  }

  #recordClaim(record: z.infer<typeof ClaimSchema>, at: Timestamp): void {
    const key = claimKey(record.team, record.key);
    const held = this.#claims.get(key);
    if (held !== undefined && (!held.released || held.claim === record.id)) {
      return;
    }
    this.#claims.delete(key);
    const { id: claim, digest, holder, deadlineAt } = record;
    this.#claims.set(key, {
      claim,
      digest,
      holder,
      deadlineAt,
      at,
      released: false,
    });
  }

  #recordRelease(record: z.infer<typeof ReleaseSchema>): void {
    const key = claimKey(record.team, record.key);
    const held = this.#claims.get(key);
    if (held?.claim !== record.claim || held.outcome !== undefined) return;
    this.#claims.set(key, { ...held, released: true });
  }

  #recordOutcome(record: RecordedOutcome, at: Timestamp): void {
    const key = claimKey(record.team, record.key);
    const held = this.#claims.get(key) ?? claimOfIssuedKey(record, at);
    if (held === undefined || held.outcome !== undefined) return;
    if (held.claim !== record.claim || held.holder !== record.holder) return;
    const { status, answer } = record;
    this.#claims.set(key, { ...held, outcome: { status, answer } });
    if (answer !== undefined) this.#keepAnswer(key, answer.body.length);
  }

  #keepAnswer(key: string, chars: number): void {
    this.#answers.set(key, chars);
    this.#answerChars += chars;
    for (const oldest of this.#answers.keys()) {
      if (this.#answerChars <= this.#options.maxAnswerChars) return;
      this.#dropAnswer(oldest);
      const claimed = this.#claims.get(oldest);
      if (claimed?.outcome === undefined) continue;
      const { status } = claimed.outcome;
      this.#claims.set(oldest, { ...claimed, outcome: { status } });
    }
  }

  #forget(key: string, claimed: ClaimState): void {
    this.#claims.delete(key);
    this.#dropAnswer(key);
    this.#knownSince = Math.max(this.#knownSince, claimed.at) as Timestamp;
  }

  #dropAnswer(key: string): void {
    this.#answerChars -= this.#answers.get(key) ?? 0;
    this.#answers.delete(key);
  }
}

/** State of an issued key, which needs no claim because only its home runs its call. */
function claimOfIssuedKey(
  record: RecordedOutcome,
  at: Timestamp,
): ClaimState | undefined {
  if (parseIssuedKey(record.key)?.home !== record.holder) return undefined;
  const { digest, holder } = record;
  const deadlineAt = 0 as Timestamp;
  return { claim: undefined, digest, holder, deadlineAt, at, released: false };
}

function claimKey(team: TeamId, key: IdempotencyKey): string {
  return `${team.length}:${team}${key}`;
}
