import { Buffer } from "node:buffer";
import type { Blackboard } from "../board/blackboard.ts";
import { type ServingConfig, ServingConfigSchema } from "../config/serving.ts";
import { Controller } from "../core/controller.ts";
import {
  NO_REVISION,
  type Offset,
  type RecordId,
  type Revision,
} from "../core/id.ts";
import { rendezvousRank } from "../core/rendezvous.ts";
import type { StepContext } from "../core/step_context.ts";
import {
  addMs,
  HOUR_MS,
  type Millis,
  SECOND_MS,
  type Timestamp,
} from "../core/time.ts";
import {
  type ConfigCheckpoint,
  ConfigFold,
  ConfigRecordSchema,
  type ConfigState,
} from "../fold/config_fold.ts";
import type { LogEntry } from "../fold/log_reader.ts";
import { LogTail } from "../fold/log_tail.ts";
import { Outbox } from "../fold/outbox.ts";
import { CONFIG_STREAM } from "../fold/streams.ts";
import type { Heartbeat } from "../gen/peer.ts";
import { livePeers } from "./membership_controller.ts";

/** Checkpoints per key window. The window is shorter than the log's retention, so the log always holds a checkpoint. */
const CHECKPOINTS_PER_WINDOW = 4;
/** Delay per rank before a daemon appends a due checkpoint, so that usually only one daemon does. */
const CHECKPOINT_STAGGER_MS: Millis = 10 * SECOND_MS;
const ID_RETENTION_MS: Millis = 24 * HOUR_MS;
const MAX_IDS = 16_384;
const CHECKPOINT_RANK_KEY = "config_checkpoint";

/** Keeps the newest configuration in force, read from the log or received from peers; the revision never decreases. */
export class ConfigController extends Controller {
  override readonly name = "config";
  readonly #tail = LogTail.create(CONFIG_STREAM, {
    idRetentionMs: ID_RETENTION_MS,
    maxIds: MAX_IDS,
  });
  readonly #fold = ConfigFold.create();
  readonly #outbox = Outbox.create(CONFIG_STREAM, { max: 1 });
  /** When the newest checkpoint read so far was made. */
  #lastCheckpointAt: Timestamp | undefined;
  #stateKnownAt: Timestamp | undefined;
  #pendingCheckpoint: RecordId | undefined;
  #unreadableRevision = NO_REVISION;

  static create(): ConfigController {
    return new ConfigController();
  }

  override step(board: Blackboard, ctx: StepContext): void {
    this.#readLog(board, ctx);
    this.#applyPeers(board, ctx);
    confirmByPeers(board, ctx.now);
    this.#outbox.handleAnswers(ctx);
    this.#appendCheckpoint(board, ctx);
    this.#outbox.sendDue(ctx);
    updateStaleness(board, ctx);
  }

  #readLog(board: Blackboard, ctx: StepContext): void {
    const { restartedAt, entries, answered } = this.#tail.step(ctx);
    if (restartedAt !== undefined) this.#fold.restart(restartedAt);
    if (answered && this.#tail.reader.caughtUp) board.config.readAt = ctx.now;
    for (const entry of entries) {
      this.#recordCheckpoint(entry);
      this.#fold.foldRecord(entry);
    }
    const { state } = this.#fold;
    if (state === undefined) return;
    this.#applyIfNewer(board, ctx, {
      ...state,
      offset: this.#tail.reader.next,
    });
    if (
      answered && this.#tail.reader.caughtUp &&
      state.revision <= board.config.revision
    ) {
      board.config.confirmedAt = ctx.now;
    }
  }

  #recordCheckpoint(entry: LogEntry): void {
    if (entry.id === this.#pendingCheckpoint) this.#outbox.cancel(entry.id);
    const parsed = ConfigRecordSchema.safeParse(entry.value);
    if (!parsed.success || parsed.data.type !== "config_checkpoint") return;
    const madeAt = Math.min(entry.at, parsed.data.madeAt) as Timestamp;
    if (madeAt > (this.#lastCheckpointAt ?? 0)) this.#lastCheckpointAt = madeAt;
  }

  #applyPeers(board: Blackboard, ctx: StepContext): void {
    for (const event of ctx.events) {
      if (event.type !== "peer_message") continue;
      const { body } = event.envelope;
      if (body?.$case === "heartbeat") this.#applyPeer(board, ctx, body.value);
    }
  }

  #applyPeer(
    board: Blackboard,
    ctx: StepContext,
    heartbeat: Heartbeat,
  ): void {
    const revision = heartbeat.revision as Revision;
    const offset = heartbeat.configOffset as Offset;
    const text = revision === board.config.revision
      ? board.config.text
      : Buffer.from(heartbeat.config).toString("utf8");
    if (revision === NO_REVISION || text === "") return;
    const state = {
      revision,
      change: "",
      author: "",
      at: 0 as Timestamp,
      text,
    };
    this.#fold.applyCheckpoint({ covers: offset, state });
    this.#applyIfNewer(board, ctx, { ...state, offset });
  }

  /** Puts a configuration in force if its revision is higher than the current one. */
  #applyIfNewer(
    board: Blackboard,
    ctx: StepContext,
    state: ConfigState & Readonly<{ offset: Offset }>,
  ): void {
    const { config } = board;
    if (state.revision === config.revision) {
      config.offset = Math.max(config.offset, state.offset) as Offset;
    }
    if (
      state.revision <= config.revision ||
      state.revision <= this.#unreadableRevision
    ) return;
    const serving = parseServing(state.text);
    if (serving === undefined) return this.#reject(ctx, state.revision);
    config.revision = state.revision;
    config.serving = serving;
    config.text = state.text;
    config.offset = state.offset;
    ctx.counters.add("config_taken");
    ctx.repeat();
  }

  #reject(ctx: StepContext, revision: Revision): void {
    this.#unreadableRevision = revision;
    ctx.counters.add("config_unreadable");
    ctx.emit({
      type: "log_line",
      level: "error",
      message: "The published configuration is invalid",
      fields: { revision },
    });
  }

  #appendCheckpoint(board: Blackboard, ctx: StepContext): void {
    const { state } = this.#fold;
    const { serving } = board.config;
    if (state === undefined || serving === undefined) return;
    if (state.revision === NO_REVISION || !this.#tail.reader.caughtUp) return;
    const dueAt = this.#checkpointDueAt(board, ctx, serving);
    if (ctx.now < dueAt) return ctx.wakeAt(dueAt);
    if (this.#outbox.size > 0) return;
    this.#pendingCheckpoint = ctx.random.uuid(ctx.now) as RecordId;
    const record: ConfigCheckpoint = {
      type: "config_checkpoint",
      id: this.#pendingCheckpoint,
      covers: this.#tail.reader.next,
      ...state,
      madeAt: ctx.now,
    };
    this.#lastCheckpointAt = ctx.now;
    this.#outbox.add({ id: record.id, body: JSON.stringify(record) }, ctx.now);
    ctx.counters.add("checkpoints_appended");
  }

  #checkpointDueAt(
    board: Blackboard,
    ctx: StepContext,
    serving: ServingConfig,
  ): Timestamp {
    const interval = serving.limits.keyWindowMs / CHECKPOINTS_PER_WINDOW;
    this.#stateKnownAt ??= ctx.now;
    const earliestAt = this.#lastCheckpointAt === undefined
      ? this.#stateKnownAt
      : addMs(this.#lastCheckpointAt, interval);
    // Ranking hashes every peer, so it is skipped until the first daemon is due.
    if (ctx.now < earliestAt) return earliestAt;
    const peers = livePeers(board, ctx.now).map((peer) => peer.id);
    const rank = rendezvousRank(CHECKPOINT_RANK_KEY, board.self.id, peers);
    return addMs(earliestAt, rank * CHECKPOINT_STAGGER_MS);
  }
}

function parseServing(text: string): ServingConfig | undefined {
  try {
    return ServingConfigSchema.safeParse(JSON.parse(text)).data;
  } catch {
    return undefined;
  }
}

/** Confirms the revision in force if at least half of the known peers are live and have no newer one. */
function confirmByPeers(board: Blackboard, now: Timestamp): void {
  const { config, members } = board;
  if (config.revision === NO_REVISION) return;
  const known = Math.max(members.addresses.length, members.peers.size);
  const confirming = livePeers(board, now)
    .filter((peer) => peer.revision <= config.revision);
  if (confirming.length * 2 >= known) config.confirmedAt = now;
}

function updateStaleness(board: Blackboard, ctx: StepContext): void {
  const { config } = board;
  if (config.serving === undefined) return;
  const limit = config.serving.limits.configFreshnessMs;
  const staleAt = addMs(config.confirmedAt ?? (0 as Timestamp), limit);
  config.stale = ctx.now > staleAt;
  if (!config.stale) ctx.wakeAt(addMs(staleAt, 1));
}
