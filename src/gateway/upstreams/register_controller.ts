import { addMs, type Millis, type Timestamp } from "../../core/time.ts";
import { type GatewayBoard, storeProgressOf } from "../gateway_board.ts";
import { GatewayController, type GatewayStep } from "../gateway_controller.ts";
import type { PeerMessage, StoreProgress } from "../peers/peer_message.ts";
import { scheduleFallbackRead } from "./fallback_read.ts";
import { sendRegisterChanges } from "./send_register_changes.ts";
import { StoreReader } from "../store/store_reader.ts";
import {
  LAPSE_GRACE_MS,
  type UpstreamChange,
  type UpstreamEntry,
  type UpstreamUpdate,
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
  /** Whether the table has changed since the last read from the store. */
  #changedSinceRead = false;

  static create(): RegisterController {
    return new RegisterController();
  }

  override step(board: GatewayBoard, step: GatewayStep): void {
    const { register } = board;
    register.updates = [];
    for (const event of step.events) {
      if (event.type === "register_read") {
        const wasRefused = this.#reader.failing;
        this.#reader.succeeded(step, event.next);
        this.#applyRead(board, step, { ...event, wasRefused });
      }
      if (event.type === "read_failed" && event.topic === "register") {
        this.#reader.failed(step, event.err);
      }
      if (event.type === "message") this.#onMessage(board, step, event.message);
      if (event.type === "resumed") {
        register.asOf = addMs(register.asOf, -event.suspendedMs);
      }
    }
    const expired = register.table.expire(step.now);
    this.#publishUpdates(board, step, expired);
    // Each daemon drops lapsed entries by itself; only the leader sends the removals on.
    if (board.members.leader === board.self.card.vm) {
      this.#sendOwnUpdates(board, step, expired);
    }
    this.#changedSinceRead ||= expired.length > 0;
    const next = register.table.nextExpiry();
    if (next !== undefined) step.wake(next);
    this.#poll(board, step);
  }

  #poll(board: GatewayBoard, step: GatewayStep): void {
    const { members, self, register } = board;
    if (members.leader === self.card.vm) {
      this.#reader.poll(step, {
        waitMs: LONG_POLL_MS,
        minGapMs: MIN_LEADER_READ_GAP_MS,
      });
      return;
    }
    const { readAt, backoffMs } = scheduleFallbackRead(board, {
      now: step.now,
      asOf: register.asOf,
      waitMs: LONG_POLL_MS,
    });
    if (step.now < readAt) step.wake(readAt);
    else {
      const minGapMs = MIN_FALLBACK_READ_GAP_MS;
      this.#reader.poll(step, {
        waitMs: LONG_POLL_MS,
        minGapMs,
        backoffMs,
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
        next: number;
        /** Whether the read before this one failed. */
        wasRefused: boolean;
      }
    >,
  ): void {
    const { register } = board;
    const { table } = register;
    const wasRead = register.offset >= 0;
    if (wasRead && step.now - register.asOf > OUTAGE_GAP_MS) {
      // A gap alone does not show an outage: this daemon may not have needed to read, and others may have been served.
      if (batch.wasRefused) this.#graceUntil = addMs(step.now, LAPSE_GRACE_MS);
      step.line("register_gap", {
        age_ms: Math.round(step.now - register.asOf),
        was_refused: batch.wasRefused,
      });
    }
    register.asOf = addMs(step.now, -MAX_RESPONSE_AGE_MS);
    if (batch.next < register.offset) return;
    const grace = this.#graceUntil;
    const lapseUntil = grace !== undefined && step.now < grace
      ? grace
      : undefined;
    const updates = batch.full
      ? table.replace(entriesOf(batch.changes), { lapseUntil })
      : batch.changes.flatMap((change) =>
        table.apply(change, { lapseUntil }) ?? []
      );
    register.offset = batch.next;
    this.#publishUpdates(board, step, updates);
    const changed = this.#sendOwnUpdates(board, step, updates);
    if (!changed && !this.#changedSinceRead) return;
    register.lastChangeOffset = batch.next;
    this.#changedSinceRead = false;
  }

  #onMessage(
    board: GatewayBoard,
    step: GatewayStep,
    message: PeerMessage,
  ): void {
    const { register } = board;
    if (message.type === "heartbeat") {
      // A daemon whose progress is ahead of this one is asked for its entries.
      if (message.progress.offset > register.offset) {
        this.#requestEntries(board, step, message.from.peer);
      }
      return;
    }
    if (message.type === "heartbeat_reply") {
      const { progress, entries } = message;
      if (progress.offset < register.offset) return;
      if (entries !== undefined) {
        this.#applyPeerSnapshot(board, step, { progress, entries });
      }
      if (register.offset >= 0 || entries !== undefined) {
        this.#adoptPeerProgress(board, step, progress);
      }
      return;
    }
    if (message.type === "changes") {
      const { progress, since, changes } = message;
      if (progress.offset < register.offset) return;
      if (since > register.offset) {
        const peer = board.members.table.get(message.from)?.peer;
        if (peer !== undefined) this.#requestEntries(board, step, peer);
        return;
      }
      const updates = changes.flatMap((change) =>
        register.table.apply(change) ?? []
      );
      this.#publishUpdates(board, step, updates);
      this.#relayPeerUpdates(board, step, { progress, updates });
      if (updates.length > 0) register.lastChangeOffset = progress.offset;
      this.#adoptPeerProgress(board, step, progress);
    }
  }

  #applyPeerSnapshot(
    board: GatewayBoard,
    step: GatewayStep,
    message: Readonly<
      { progress: StoreProgress; entries: readonly UpstreamEntry[] }
    >,
  ): void {
    const { register } = board;
    const { progress, entries } = message;
    const updates = register.table.replace(entries);
    this.#publishUpdates(board, step, updates);
    this.#relayPeerUpdates(board, step, { progress, updates });
    if (updates.length > 0) this.#changedSinceRead = true;
  }

  /** Adopts the read progress of another daemon whose entries or changes are in the table. */
  #adoptPeerProgress(
    board: GatewayBoard,
    step: GatewayStep,
    progress: StoreProgress,
  ): void {
    const { register } = board;
    register.offset = progress.offset;
    if (this.#changedSinceRead) register.lastChangeOffset = progress.offset;
    this.#changedSinceRead = false;
    this.#reader.skipTo(progress.offset);
    const asOf = addMs(step.now, -progress.ageMs - MAX_RESPONSE_AGE_MS);
    if (asOf > register.asOf) register.asOf = asOf;
  }

  #requestEntries(board: GatewayBoard, step: GatewayStep, to: string): void {
    step.emit({
      type: "send",
      to,
      message: {
        type: "heartbeat",
        from: board.self.card,
        progress: storeProgressOf(board, step.now),
        jobs: [],
      },
    });
  }

  /**
   * Sends what this daemon has read. Where the store refuses the leader, the first daemon that reads by itself reaches
   * all others through the leader. Returns whether there were changes.
   */
  #sendOwnUpdates(
    board: GatewayBoard,
    step: GatewayStep,
    updates: readonly UpstreamUpdate[],
  ): boolean {
    const { members, self } = board;
    const changes = changesOf(board, updates);
    const leads = members.leader === self.card.vm;
    // Other daemons send their progress without changes too: a leader that can't read needs it.
    if (leads && changes.length === 0) return false;
    sendRegisterChanges(board, step, { changes });
    return changes.length > 0;
  }

  /** Sends on, as the leader, the changes that another daemon has read first. */
  #relayPeerUpdates(
    board: GatewayBoard,
    step: GatewayStep,
    received: Readonly<
      { progress: StoreProgress; updates: readonly UpstreamUpdate[] }
    >,
  ): void {
    const { members, self } = board;
    const changes = changesOf(board, received.updates);
    if (changes.length === 0 || members.leader !== self.card.vm) return;
    sendRegisterChanges(board, step, { changes, progress: received.progress });
  }

  #publishUpdates(
    board: GatewayBoard,
    step: GatewayStep,
    updates: readonly UpstreamUpdate[],
  ): void {
    board.register.updates = [...board.register.updates, ...updates];
    for (const { kind, id } of updates) {
      step.line("upstream", { upstream: id, how: kind });
      if (kind === "restarted") {
        step.emit({ type: "upstream_lost", upstream: id });
      }
    }
  }
}

function entriesOf(changes: readonly UpstreamChange[]) {
  return changes.flatMap((change) =>
    change.type === "entry" ? [change.entry] : []
  );
}

/** Changes to send for updates: the entries as they are now, and the ids that are gone. */
function changesOf(
  board: GatewayBoard,
  updates: readonly UpstreamUpdate[],
): readonly UpstreamChange[] {
  return updates.flatMap(({ kind, id }): UpstreamChange[] => {
    if (kind === "kept") return [];
    const entry = board.register.table.get(id);
    return entry === undefined ? [{ type: "gone", id }] : [
      { type: "entry", entry },
    ];
  });
}
