import { z } from "zod";
import type { Blackboard } from "../board/blackboard.ts";
import { Controller } from "../core/controller.ts";
import type { RecordId } from "../core/id.ts";
import { rendezvousRank } from "../core/rendezvous.ts";
import type { StepContext } from "../core/step_context.ts";
import {
  addMs,
  HOUR_MS,
  type Millis,
  SECOND_MS,
  type Timestamp,
} from "../core/time.ts";
import type { LogEntry } from "../fold/log_reader.ts";
import { LogTail } from "../fold/log_tail.ts";
import { Outbox } from "../fold/outbox.ts";
import { KEYS_STREAM } from "../fold/streams.ts";
import { idSchema } from "../wire/brands.ts";
import { livePeers } from "./membership_controller.ts";

/** Number of newest keys that verify tokens; with the default key window they span half an hour to two hours. */
const MAX_KEYS = 4;
/** Time that daemons have to read a new key before it is used to sign. */
const KEY_PROPAGATION_MS: Millis = 10 * SECOND_MS;
/** Delay per rank before a daemon appends a due key, so that usually only one daemon does. */
const ROTATION_STAGGER_MS: Millis = 5 * SECOND_MS;
const ROTATION_RANK_KEY = "signing_key";
const ROTATIONS_PER_WINDOW = 2;
const ID_RETENTION_MS: Millis = 24 * HOUR_MS;
const MAX_IDS = 1_024;

const KeyRecordSchema = z.object({
  type: z.literal("signing_key"),
  id: idSchema<RecordId>(),
  key: z.string().min(32).max(256),
});

type KnownKey = Readonly<
  { key: string; readAt: Timestamp; appendedAt: Timestamp }
>;

/** Agrees with the other daemons on signing keys through the log, and rotates them. */
export class KeyController extends Controller {
  override readonly name = "keys";
  readonly #createSecret: () => string;
  readonly #tail = LogTail.create(KEYS_STREAM, {
    idRetentionMs: ID_RETENTION_MS,
    maxIds: MAX_IDS,
  });
  readonly #outbox = Outbox.create(KEYS_STREAM, { max: 1 });
  #keys: readonly KnownKey[] = [];
  #caughtUpAt: Timestamp | undefined;

  private constructor(createSecret: () => string) {
    super();
    this.#createSecret = createSecret;
  }

  /** `createSecret` returns at least 32 unpredictable characters. */
  static create(createSecret: () => string): KeyController {
    return new KeyController(createSecret);
  }

  override step(board: Blackboard, ctx: StepContext): void {
    const { entries } = this.#tail.step(ctx);
    for (const entry of entries) this.#foldEntry(ctx, entry);
    this.#outbox.handleAnswers(ctx);
    this.#rotate(board, ctx);
    this.#outbox.sendDue(ctx);
    this.#updateBoard(board, ctx);
  }

  #foldEntry(ctx: StepContext, entry: LogEntry): void {
    this.#outbox.cancel(entry.id);
    const parsed = KeyRecordSchema.safeParse(entry.value);
    if (!parsed.success || this.#isConcurrentRotation(entry.at)) return;
    const known = {
      key: parsed.data.key,
      readAt: ctx.now,
      appendedAt: entry.at,
    };
    this.#keys = [...this.#keys, known].slice(-MAX_KEYS);
  }

  /** Daemons that start at the same time each append a key; only the first key in the log counts. */
  #isConcurrentRotation(at: Timestamp): boolean {
    const newest = this.#keys.at(-1);
    return newest !== undefined &&
      at < addMs(newest.appendedAt, KEY_PROPAGATION_MS);
  }

  #rotate(board: Blackboard, ctx: StepContext): void {
    if (!this.#tail.reader.caughtUp || this.#outbox.size > 0) return;
    this.#caughtUpAt ??= ctx.now;
    const dueAt = this.#rotationDueAt(board, ctx);
    if (dueAt === undefined) return;
    if (ctx.now < dueAt) return ctx.wakeAt(dueAt);
    const id = ctx.random.uuid(ctx.now) as RecordId;
    const body = { type: "signing_key", id, key: this.#createSecret() };
    this.#outbox.add({ id, body: JSON.stringify(body) }, ctx.now);
  }

  #rotationDueAt(board: Blackboard, ctx: StepContext): Timestamp | undefined {
    const earliestAt = this.#earliestAt(board, ctx);
    // Ranking hashes every peer, so it is skipped until the first daemon is due.
    if (earliestAt === undefined || ctx.now < earliestAt) return earliestAt;
    const peers = livePeers(board, ctx.now).map((peer) => peer.id);
    const rank = rendezvousRank(ROTATION_RANK_KEY, board.self.id, peers);
    return addMs(earliestAt, rank * ROTATION_STAGGER_MS);
  }

  #earliestAt(board: Blackboard, ctx: StepContext): Timestamp | undefined {
    const newest = this.#keys.at(-1);
    if (newest === undefined) return this.#caughtUpAt ?? ctx.now;
    const window = board.config.serving?.limits.keyWindowMs;
    if (window === undefined) return undefined;
    return addMs(newest.appendedAt, window / ROTATIONS_PER_WINDOW);
  }

  #updateBoard(board: Blackboard, ctx: StepContext): void {
    const usable = this.#keys
      .filter((known) => ctx.now - known.readAt >= KEY_PROPAGATION_MS);
    const newest = this.#keys.at(-1);
    const usableAt = newest && addMs(newest.readAt, KEY_PROPAGATION_MS);
    if (usableAt !== undefined && usableAt > ctx.now) ctx.wakeAt(usableAt);
    board.keys.signing = (usable.at(-1) ?? this.#keys[0])?.key;
    board.keys.accepted = this.#keys.map((known) => known.key);
  }
}
