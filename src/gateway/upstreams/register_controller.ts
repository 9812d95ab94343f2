import { addMs, type Millis, type Timestamp } from "../../core/time.ts";
import type { GatewayBoard } from "../gateway_board.ts";
import { GatewayController, type GatewayStep } from "../gateway_controller.ts";
import { otherPlacers } from "../members/membership.ts";
import type { PeerMessage, StoreProgress } from "../peers/peer_message.ts";
import {
  leaderReadsFrom,
  leaderWaitMs,
  scheduleFallbackRead,
} from "./fallback_read.ts";
import {
  applyPeerChanges,
  type PeerTable,
  replaceByPeerTable,
} from "./peer_changes.ts";
import { RegisterSettling } from "./register_settling.ts";
import {
  publishUpdates,
  relayPeerUpdates,
  requestEntries,
  sendOwnUpdates,
} from "./register_publisher.ts";
import { settlingUntil } from "../store/settling.ts";
import {
  isBefore,
  resolvePosition,
  type StorePosition,
} from "../store/store_position.ts";
import { TableFetch } from "./table_fetch.ts";
import { StoreReader } from "../store/store_reader.ts";
import {
  entriesOf,
  LAPSE_GRACE_MS,
  type MergeOptions,
  type UpstreamChange,
} from "./upstream_table.ts";

/** Shortest time between the leader's reads; it sends changes to all others. */
const MIN_LEADER_READ_GAP_MS: Millis = 450;
/** Time for which the store may hold a read until there is a change; short, so that a dead connection is noticed. */
const LONG_POLL_MS: Millis = 600;
/** Shortest time between reads of a daemon that gets no fresh data from others; the platform allows an age of 2 s. */
const MIN_FALLBACK_READ_GAP_MS: Millis = 1_000;
/** Longer gaps between reads mean that entries may have lapsed only because the store was unavailable. */
const OUTAGE_GAP_MS: Millis = 1_500;
/** How much older than its arrival the data of a store response may be. */
const MAX_RESPONSE_AGE_MS: Millis = 50;

/** Keeps the table of upstreams up to date: the leader reads the store and sends the changes to the other daemons. */
export class RegisterController extends GatewayController {
  readonly #reader = StoreReader.create("register");
  #graceUntil: Timestamp | undefined;
  readonly #settling = RegisterSettling.create();
  readonly #fetch = TableFetch.create();
  /** Whether the table has changed since the last read from the store. */
  #changedSinceRead = false;
  #knewRestore = false;
  /** Whether a whole table was requested, whatever position it has. */
  #needsWhole = false;

  static create(): RegisterController {
    return new RegisterController();
  }

  override step(board: GatewayBoard, step: GatewayStep): void {
    const { register } = board;
    register.updates = [];
    for (const event of step.events) {
      if (event.type === "register_read") {
        const wasRefused = this.#reader.failing;
        const position = this.#reader.succeeded(step, event, board.store);
        if (position === undefined) continue;
        this.#applyRead(board, step, { ...event, position, wasRefused });
      }
      if (event.type === "read_failed" && event.topic === "register") {
        this.#reader.failed(step, event.err);
      }
      if (event.type === "message") this.#onMessage(board, step, event.message);
      if (event.type === "table_unfetched") {
        this.#fetch.end("failed");
        step.line("fetch_failed", { detail: event.detail });
      }
      if (event.type === "resumed") {
        register.asOf = addMs(register.asOf, -event.suspendedMs);
      }
    }
    this.#onRestoreLearnt(board, step);
    const expired = register.table.expire(step.now, register.asOf);
    publishUpdates(board, step, expired);
    // Each daemon drops lapsed entries by itself; only the leader sends the removals on.
    if (board.members.leader === board.self.card.vm) {
      sendOwnUpdates(board, step, expired, { snapshot: true });
    }
    this.#changedSinceRead ||= expired.length > 0;
    const next = register.table.nextExpiry(step.now);
    if (next !== undefined) step.wake(next);
    this.#poll(board, step);
  }

  /** A table that was read before its era was known to begin with a restore may be the copy's: others know better. */
  #onRestoreLearnt(board: GatewayBoard, step: GatewayStep): void {
    const { register, store, members } = board;
    const isKnown = store.restoredAt !== -Infinity;
    const isSuspect = isKnown && !this.#knewRestore &&
      register.position.era === store.era;
    this.#knewRestore = isKnown;
    if (!isSuspect) return;
    this.#needsWhole = true;
    for (const vm of otherPlacers(board)) {
      const peer = members.table.get(vm)?.peer;
      if (peer !== undefined) {
        requestEntries(board, step, peer, { whole: true });
      }
    }
  }

  #poll(board: GatewayBoard, step: GatewayStep): void {
    // What peers know holds against the older copy of a restored store only if it is known first.
    if (board.members.introducedAt === undefined) return;
    const { members, self, register, store } = board;
    const whole = this.#settling.mustReadWhole(board, step);
    const isUnread = register.position.offset < 0;
    if (members.leader === self.card.vm) {
      const minGapMs = MIN_LEADER_READ_GAP_MS;
      const readAt = leaderReadsFrom(board, { now: step.now, isUnread });
      if (step.now < readAt) return step.wake(readAt);
      const ageMs = step.now - register.asOf - MAX_RESPONSE_AGE_MS;
      const waitMs = leaderWaitMs(LONG_POLL_MS, ageMs);
      this.#reader.poll(step, store, { waitMs, minGapMs, whole });
      return;
    }
    const { readAt, backoffMs } = scheduleFallbackRead(board, {
      now: step.now,
      asOf: register.asOf,
      isUnread,
      waitMs: LONG_POLL_MS,
    });
    if (step.now < readAt && !whole) step.wake(readAt);
    else {
      const minGapMs = MIN_FALLBACK_READ_GAP_MS;
      this.#reader.poll(step, store, {
        waitMs: LONG_POLL_MS,
        minGapMs,
        backoffMs,
        whole,
      });
    }
  }

  #applyRead(
    board: GatewayBoard,
    step: GatewayStep,
    batch: Readonly<
      {
        full: boolean;
        changes: readonly UpstreamChange[];
        position: StorePosition;
        /** Whether the read before this one failed. */
        wasRefused: boolean;
      }
    >,
  ): void {
    const { register } = board;
    const { table } = register;
    const { position } = batch;
    const wasRead = register.position.offset >= 0;
    if (wasRead && step.now - register.asOf > OUTAGE_GAP_MS) {
      // A gap alone does not show an outage: this daemon may not have needed to read, and others may have been served.
      if (batch.wasRefused) this.#graceUntil = addMs(step.now, LAPSE_GRACE_MS);
      step.line("register_gap", {
        age_ms: Math.round(step.now - register.asOf),
        was_refused: batch.wasRefused,
      });
    }
    register.asOf = addMs(step.now, -MAX_RESPONSE_AGE_MS);
    if (isBefore(position, register.position)) return;
    const known = register.position;
    const grace = this.#graceUntil;
    const lapseUntil = grace !== undefined && step.now < grace
      ? grace
      : undefined;
    const settling = this.#enterEra(board, step, position);
    if (batch.full) this.#settling.readWhole(board, step);
    const snapshot = batch.full && settling.settleUntil !== undefined;
    const updates = batch.full
      ? table.replace(entriesOf(batch.changes), { lapseUntil, ...settling })
      : batch.changes.flatMap((change) =>
        table.apply(change, { lapseUntil }) ?? []
      );
    register.position = position;
    publishUpdates(board, step, updates, { received: position, known });
    const changed = sendOwnUpdates(board, step, updates, { snapshot });
    if (!changed && !this.#changedSinceRead) return;
    register.lastChange = position;
    this.#changedSinceRead = false;
  }

  #onMessage(
    board: GatewayBoard,
    step: GatewayStep,
    message: PeerMessage,
  ): void {
    const { register, store } = board;
    if (message.type === "heartbeat") {
      // A daemon whose progress is ahead of this one is asked for its entries.
      const position = resolvePosition(message.progress, store);
      if (isBefore(register.position, position)) {
        requestEntries(board, step, message.from.peer);
      }
      return;
    }
    if (message.type === "heartbeat_reply") {
      const { progress, entries, behind } = message;
      const position = resolvePosition(progress, store);
      if (this.#isOutdated(board, step, message, position)) return;
      if (behind === true) {
        // Replies that were sent before a fetch ended don't begin another one.
        const isBehind = isBefore(register.position, position);
        if (isBehind || this.#needsWhole) {
          this.#fetch.begin(board, step, message.from);
        }
        return;
      }
      if (entries !== undefined) {
        this.#fetch.end("applied");
        this.#needsWhole = false;
        const table = { ...message, entries };
        this.#applyPeerTable(board, step, { progress, table, position });
      } else if (position.era > register.position.era) {
        // The reply to the next heartbeat has the entries.
        return;
      }
      this.#adoptPeerProgress(board, step, progress);
      return;
    }
    if (message.type === "changes") {
      const { progress, since, sinceEra, changes, snapshot = false } = message;
      const position = resolvePosition(progress, store);
      if (this.#isOutdated(board, step, message, position)) return;
      if (position.era > register.position.era) return;
      const start = resolvePosition({ offset: since, era: sinceEra }, store);
      // Changes that cross a restore don't continue a table that was read after it.
      const continues = start.era === position.era &&
        !isBefore(register.position, start);
      if (!continues) {
        const peer = board.members.table.get(message.from)?.peer;
        if (peer !== undefined) requestEntries(board, step, peer);
        return;
      }
      const settleUntil = snapshot ? settlingUntil(store, step.now) : undefined;
      const updates = applyPeerChanges(register.table, changes, {
        now: step.now,
        settleUntil,
      });
      const known = register.position;
      publishUpdates(board, step, updates, { received: position, known });
      relayPeerUpdates(board, step, { progress, updates, snapshot });
      if (updates.length > 0) register.lastChange = position;
      this.#adoptPeerProgress(board, step, progress);
    }
  }

  /** Whether a message tells of an older state of the register than this daemon knows; logged if its era is older. */
  #isOutdated(
    board: GatewayBoard,
    step: GatewayStep,
    message: Extract<PeerMessage, { type: "heartbeat_reply" | "changes" }>,
    position: StorePosition,
  ): boolean {
    const known = board.register.position;
    if (position.era < known.era) {
      const { from, type } = message;
      step.line("peer_outdated", {
        peer: typeof from === "string" ? from : from.vm,
        message: type,
        era: position.era,
        offset: position.offset,
        known_era: known.era,
        known_offset: known.offset,
      });
    }
    return isBefore(position, known);
  }

  /**
   * Prepares for a whole table at a position; returns how it is weighed against the table that is known. On the first
   * one of an era, all daemons with a position of an older era are to get the whole table: changes of the new era have
   * no meaning on theirs.
   */
  #enterEra(
    board: GatewayBoard,
    step: GatewayStep,
    position: StorePosition,
  ): MergeOptions {
    const { era } = board.register.position;
    if (position.era > era) this.#changedSinceRead = true;
    return this.#settling.mergeOptions(board, step);
  }

  #applyPeerTable(
    board: GatewayBoard,
    step: GatewayStep,
    message: Readonly<{
      progress: StoreProgress;
      table: PeerTable;
      position: StorePosition;
    }>,
  ): void {
    const { register } = board;
    const { progress, table, position: received } = message;
    const known = register.position;
    const settling = this.#enterEra(board, step, received);
    const options = { ...settling, now: step.now };
    const updates = replaceByPeerTable(register.table, table, options);
    publishUpdates(board, step, updates, { received, known });
    relayPeerUpdates(board, step, { progress, updates, snapshot: true });
    if (updates.length > 0) this.#changedSinceRead = true;
    this.#reader.beginAt(received);
  }

  /** Adopts the read progress of another daemon whose entries or changes are in the table. */
  #adoptPeerProgress(
    board: GatewayBoard,
    step: GatewayStep,
    progress: StoreProgress,
  ): void {
    const { register } = board;
    const position = resolvePosition(progress, board.store);
    register.position = position;
    if (this.#changedSinceRead) register.lastChange = position;
    this.#changedSinceRead = false;
    this.#reader.skipTo(position);
    const asOf = addMs(step.now, -progress.ageMs - MAX_RESPONSE_AGE_MS);
    if (asOf > register.asOf) register.asOf = asOf;
  }
}
