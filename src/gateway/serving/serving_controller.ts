import { addMs, type Millis, type Timestamp } from "../../core/time.ts";
import type { GatewayBoard } from "../gateway_board.ts";
import { GatewayController, type GatewayStep } from "../gateway_controller.ts";
import type { GatewayEvent } from "../gateway_event.ts";
import { livenessTimeoutMs } from "../members/membership.ts";
import {
  leaderReadsFrom,
  leaderWaitMs,
  scheduleFallbackRead,
} from "../upstreams/fallback_read.ts";
import type {
  PeerCard,
  PeerMessage,
  StoreProgress,
} from "../peers/peer_message.ts";
import type { EvacuationChange } from "./evacuated_domains.ts";
import { RouteTable } from "./route_table.ts";
import type { ServingConfig } from "./serving_config.ts";
import { sendRegisterChanges } from "../upstreams/send_register_changes.ts";
import { fetchSource, servingReaders } from "./serving_readers.ts";
import { settlingUntil } from "../store/settling.ts";
import { resolvePosition } from "../store/store_position.ts";
import { StoreReader } from "../store/store_reader.ts";

/** How long the store may hold a long poll for a new version. */
const LONG_POLL_MS: Millis = 10_000;
/** The leader's long poll is shorter, since its reads also confirm the version of the other daemons. */
const LEADER_LONG_POLL_MS: Millis = 600;
/** Shortest time between the starts of two reads, so that a series of versions is read in few calls. */
const MIN_GAP_MS: Millis = 300;
/** How long a daemon that reads the store waits for a peer's version before it fetches that from a peer. */
const STORE_LAG_MS: Millis = 200;
/** Time between two attempts to fetch a version from a peer. */
const FETCH_RETRY_MS: Millis = 500;
/** Attempts after which the version is read from the store. */
const MAX_FETCH_ATTEMPTS = 3;

/** A version that a peer has and this daemon lacks; `since` is when this daemon first fell behind. */
type NewerVersion = Readonly<{
  peer: PeerCard;
  version: number;
  since: Timestamp;
  /** Latest time at which the version is known to have been the newest. */
  asOf: Timestamp;
}>;

/**
 * Keeps the configuration at the newest version, and never applies an older one. The leader and a few readers in
 * each failure domain read the store, and the other daemons fetch from the readers. A daemon that receives no recent
 * confirmation of its version from a peer reads the store itself.
 */
export class ServingController extends GatewayController {
  readonly #reader = StoreReader.create("serving");
  /** Newest version that this daemon has read from the store since it last read it as a whole. */
  #storedVersion = 0;
  #newer: NewerVersion | undefined;
  #nextFetchAt = 0 as Timestamp;
  #fetchAttempts = 0;

  static create(): ServingController {
    return new ServingController();
  }

  override step(board: GatewayBoard, step: GatewayStep): void {
    const { serving } = board;
    for (const event of step.events) {
      if (event.type === "serving_read") {
        const position = this.#reader.succeeded(step, event, board.store);
        if (position === undefined) continue;
        this.#confirmVersion(board, step, event);
        if (event.evacuations !== undefined) {
          const changes = serving.evacuated.apply(
            event.evacuations,
            position,
            settlingUntil(board.store, step.now),
          );
          this.#logEvacuations(board, step, changes, "store");
          if (changes.length > 0) this.#announce(board, step, "store");
        }
        if (event.serving !== undefined) {
          this.#applyConfig(board, step, event.serving, "store");
        }
      }
      if (event.type === "serving_fetched") {
        this.#applyConfig(board, step, event.serving, "peer");
      }
      if (event.type === "fetch_failed") {
        step.line("fetch_failed", { detail: event.detail });
      }
      if (event.type === "read_failed" && event.topic === "serving") {
        this.#reader.failed(step, event.err);
      }
      if (event.type === "resumed") {
        serving.asOf = addMs(serving.asOf, -event.suspendedMs);
      }
      if (event.type === "message") this.#onMessage(board, step, event.message);
    }
    const settled = serving.evacuated.settle(step.now);
    this.#logEvacuations(board, step, settled, "store");
    const { settlesAt } = serving.evacuated;
    if (settlesAt !== undefined) step.wake(settlesAt);
    this.#fetchFromPeer(board, step);
    this.#pollStore(board, step);
    serving.caughtUp ||= board.members.introducedAt !== undefined &&
      serving.routes !== undefined &&
      (this.#newer === undefined || this.#fetchAttempts >= MAX_FETCH_ATTEMPTS);
  }

  /** Records that the version in force was the newest, unless the store was restored without it. */
  #confirmVersion(
    board: GatewayBoard,
    step: GatewayStep,
    batch: Extract<GatewayEvent, { type: "serving_read" }>,
  ): void {
    const { serving } = board;
    if (batch.evacuations?.full === true) this.#storedVersion = 0;
    const read = batch.serving?.version ?? 0;
    if (read > this.#storedVersion) this.#storedVersion = read;
    if (this.#storedVersion >= serving.version) serving.asOf = step.now;
    else if (read > 0) {
      step.line("config_outdated", { read, version: serving.version });
    }
  }

  #onMessage(
    board: GatewayBoard,
    step: GatewayStep,
    message: PeerMessage,
  ): void {
    if (message.type === "heartbeat" || message.type === "heartbeat_reply") {
      this.#compare(board, step, message.from, message.progress);
    }
    if (message.type !== "changes") return;
    const peer = board.members.table.get(message.from);
    if (peer !== undefined) this.#compare(board, step, peer, message.progress);
  }

  /** Compares a peer's version with this daemon's: an equal one confirms it, a newer one is to be fetched. */
  #compare(
    board: GatewayBoard,
    step: GatewayStep,
    peer: PeerCard,
    progress: StoreProgress,
  ): void {
    const { serving } = board;
    const { evacuations } = progress;
    if (evacuations !== undefined) {
      const position = resolvePosition(evacuations, board.store);
      const holdUntil = settlingUntil(board.store, step.now);
      const changes = serving.evacuated.merge(evacuations, position, holdUntil);
      this.#logEvacuations(board, step, changes, "peer");
      if (changes.length > 0) this.#announce(board, step, "peer");
    }
    if (progress.version === serving.version) {
      const asOf = addMs(step.now, -progress.versionAgeMs);
      if (asOf > serving.asOf) serving.asOf = asOf;
    }
    if (progress.version <= serving.version) return;
    if (this.#newer !== undefined && progress.version <= this.#newer.version) {
      return;
    }
    const since = this.#newer?.since ?? step.now;
    const asOf = addMs(step.now, -progress.versionAgeMs);
    this.#newer = { peer, version: progress.version, since, asOf };
  }

  /** Reads the store if this daemon leads or is a reader, if fetches failed, or if peers confirmed nothing recently. */
  #pollStore(board: GatewayBoard, step: GatewayStep): void {
    const { members, self, serving, store } = board;
    if (members.introducedAt === undefined) return;
    const leads = members.leader === self.card.vm;
    const isUnread = serving.routes === undefined;
    const waitMs = leads
      ? leaderWaitMs(LEADER_LONG_POLL_MS, step.now - serving.asOf)
      : LONG_POLL_MS;
    const readsStore = leads || this.#fetchAttempts >= MAX_FETCH_ATTEMPTS ||
      this.#domainReaders(board, step).some((reader) =>
        reader.vm === self.card.vm
      );
    if (readsStore) {
      const readAt = leaderReadsFrom(board, { now: step.now, isUnread });
      if (step.now < readAt) return step.wake(readAt);
      this.#reader.poll(step, store, { waitMs, minGapMs: MIN_GAP_MS });
      return;
    }
    const { readAt, backoffMs } = scheduleFallbackRead(board, {
      now: step.now,
      asOf: serving.asOf,
      isUnread,
      waitMs: LEADER_LONG_POLL_MS,
    });
    if (step.now < readAt) step.wake(readAt);
    else {
      const minGapMs = MIN_GAP_MS;
      this.#reader.poll(step, store, { waitMs, minGapMs, backoffMs });
    }
  }

  #domainReaders(board: GatewayBoard, step: GatewayStep): readonly PeerCard[] {
    const { members, self } = board;
    const live = members.table.live(step.now, livenessTimeoutMs(board));
    return servingReaders([self.card, ...live], self.card.domain);
  }

  #fetchFromPeer(board: GatewayBoard, step: GatewayStep): void {
    const newer = this.#newer;
    if (newer === undefined) return;
    const { self, serving } = board;
    if (newer.version <= serving.version) {
      const isSame = newer.version === serving.version;
      if (isSame && newer.asOf > serving.asOf) serving.asOf = newer.asOf;
      this.#newer = undefined;
      this.#fetchAttempts = 0;
      return;
    }
    const readers = this.#domainReaders(board, step);
    const readsStore = readers.some((reader) => reader.vm === self.card.vm);
    const waitMs = readsStore && serving.routes !== undefined
      ? STORE_LAG_MS
      : 0;
    const at = Math.max(addMs(newer.since, waitMs), this.#nextFetchAt);
    if (step.now < at) {
      step.wake(at);
      return;
    }
    const peer = fetchSource(readers, {
      self: self.card.vm,
      announcer: newer.peer,
      attempt: this.#fetchAttempts,
      leader: board.members.leader,
    });
    step.emit({ type: "fetch_serving", peer });
    this.#fetchAttempts += 1;
    this.#nextFetchAt = addMs(step.now, FETCH_RETRY_MS);
    step.wake(this.#nextFetchAt);
  }

  #applyConfig(
    board: GatewayBoard,
    step: GatewayStep,
    config: ServingConfig,
    source: "store" | "peer",
  ): void {
    const section = board.serving;
    if (section.routes !== undefined && config.version <= section.version) {
      return;
    }
    step.line("config", {
      from: section.version,
      to: config.version,
      source,
      routes: config.routes.length,
    });
    section.routes = RouteTable.create(config);
    section.version = config.version;
    section.appliedAt = step.now;
    this.#announce(board, step, source);
  }

  #logEvacuations(
    board: GatewayBoard,
    step: GatewayStep,
    changes: readonly EvacuationChange[],
    source: "store" | "peer",
  ): void {
    const { era, offset } = board.serving.evacuated.position;
    for (const { domain, evacuated } of changes) {
      step.line("evacuation", { domain, evacuated, source, offset, era });
    }
  }

  /** Sends the new version number and evacuations: the leader to all, others to leader and deputy if it came from the store. */
  #announce(
    board: GatewayBoard,
    step: GatewayStep,
    source: "store" | "peer",
  ): void {
    const { members, self } = board;
    const leads = members.leader === self.card.vm;
    if (!leads && source === "peer") return;
    sendRegisterChanges(board, step, { changes: [] });
  }
}
