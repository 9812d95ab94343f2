import { addMs, type Millis, type Timestamp } from "../../core/time.ts";
import { type GatewayBoard, storeProgressOf } from "../gateway_board.ts";
import { GatewayController, type GatewayStep } from "../gateway_controller.ts";
import type { PeerMessage, StoreProgress } from "../peers/peer_message.ts";
import { ownReading } from "./own_reading.ts";
import { sendChanges } from "./send_changes.ts";
import { StoreReader } from "../store/store_reader.ts";
import {
  LAPSE_GRACE_MS,
  type UpstreamChange,
  type UpstreamEntry,
  type UpstreamUpdate,
} from "./upstream_table.ts";

/** How often the leader reads at most; all others hear of changes from it. */
const SPACING_MS: Millis = 450;
/** How long the store may wait for something new; a silent connection is noticed soon after. */
const WAIT_MS: Millis = 600;
/** How often any other daemon reads that hears of no reading; the platform allows 2 s for what is read. */
const OWN_SPACING_MS: Millis = 1_000;
/** A longer gap between readings means that entries may have lapsed because the store was away. */
const OUTAGE_MS: Millis = 1_500;
/** What a reading that the store answered may be older than its arrival. */
const READ_AGE_MS: Millis = 50;

/** Keeps the table of upstreams as fresh as the store allows: the leader reads, the others hear from it. */
export class RegisterController extends GatewayController {
  readonly #reader = StoreReader.create("register");
  #graceUntil: Timestamp | undefined;
  /** Whether the table has changed since it was last read. */
  #changedSince = false;

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
        this.#takeReading(board, step, { ...event, wasRefused });
      }
      if (event.type === "read_failed" && event.topic === "register") {
        this.#reader.failed(step, event.err);
      }
      if (event.type === "message") this.#hear(board, step, event.message);
      if (event.type === "resumed") {
        register.asOf = addMs(register.asOf, -event.suspendedMs);
      }
    }
    const expired = register.table.expire(step.now);
    this.#report(board, step, expired);
    // Each daemon drops lapsed entries by itself; only the leader's word is passed on.
    if (board.members.leader === board.self.card.vm) {
      this.#passOn(board, step, expired);
    }
    this.#changedSince ||= expired.length > 0;
    const next = register.table.nextExpiry();
    if (next !== undefined) step.wake(next);
    this.#poll(board, step);
  }

  #poll(board: GatewayBoard, step: GatewayStep): void {
    const { members, self, register } = board;
    if (members.leader === self.card.vm) {
      this.#reader.poll(step, { waitMs: WAIT_MS, minGapMs: SPACING_MS });
      return;
    }
    const { readAt, backoffMs } = ownReading(board, {
      now: step.now,
      asOf: register.asOf,
      waitMs: WAIT_MS,
    });
    if (step.now < readAt) step.wake(readAt);
    else {
      const spacingMs = OWN_SPACING_MS;
      this.#reader.poll(step, {
        waitMs: WAIT_MS,
        minGapMs: spacingMs,
        backoffMs,
      });
    }
  }

  #takeReading(
    board: GatewayBoard,
    step: GatewayStep,
    batch: Readonly<
      {
        full: boolean;
        changes: readonly UpstreamChange[];
        next: number;
        /** Whether the reading before this one failed. */
        wasRefused: boolean;
      }
    >,
  ): void {
    const { register } = board;
    const { table } = register;
    const known = register.offset >= 0;
    if (known && step.now - register.asOf > OUTAGE_MS) {
      // A daemon that had no need to read before can't tell that the store was away; to others it may have answered.
      if (batch.wasRefused) this.#graceUntil = addMs(step.now, LAPSE_GRACE_MS);
      step.line("register_gap", {
        age_ms: Math.round(step.now - register.asOf),
        was_refused: batch.wasRefused,
      });
    }
    register.asOf = addMs(step.now, -READ_AGE_MS);
    if (batch.next < register.offset) return;
    const grace = this.#graceUntil;
    const lapseUntil = grace !== undefined && step.now < grace
      ? grace
      : undefined;
    const updates = batch.full
      ? table.replace(entriesOf(batch.changes), { lapseUntil })
      : batch.changes.flatMap((one) => table.take(one, { lapseUntil }) ?? []);
    register.offset = batch.next;
    this.#report(board, step, updates);
    const changed = this.#passOn(board, step, updates);
    if (!changed && !this.#changedSince) return;
    register.lastChangeOffset = batch.next;
    this.#changedSince = false;
  }

  #hear(board: GatewayBoard, step: GatewayStep, message: PeerMessage): void {
    const { register } = board;
    if (message.type === "heartbeat") {
      // A daemon that has read further is asked for what it knows.
      if (message.progress.offset > register.offset) {
        this.#askFor(board, step, message.from.peer);
      }
      return;
    }
    if (message.type === "heartbeat_reply") {
      const { progress, entries } = message;
      if (progress.offset < register.offset) return;
      if (entries !== undefined) {
        this.#replace(board, step, { progress, entries });
      }
      if (register.offset >= 0 || entries !== undefined) {
        this.#goOn(board, step, progress);
      }
      return;
    }
    if (message.type === "changes") {
      const { progress, since, changes } = message;
      if (progress.offset < register.offset) return;
      if (since > register.offset) {
        const peer = board.members.table.get(message.from)?.peer;
        if (peer !== undefined) this.#askFor(board, step, peer);
        return;
      }
      const updates = changes.flatMap((one) => register.table.take(one) ?? []);
      this.#report(board, step, updates);
      this.#passOnHeard(board, step, { progress, updates });
      if (updates.length > 0) register.lastChangeOffset = progress.offset;
      this.#goOn(board, step, progress);
    }
  }

  #replace(
    board: GatewayBoard,
    step: GatewayStep,
    message: Readonly<
      { progress: StoreProgress; entries: readonly UpstreamEntry[] }
    >,
  ): void {
    const { register } = board;
    const { progress, entries } = message;
    const updates = register.table.replace(entries);
    this.#report(board, step, updates);
    this.#passOnHeard(board, step, { progress, updates });
    if (updates.length > 0) this.#changedSince = true;
  }

  /** Notes that the table is as another daemon has read it. */
  #goOn(board: GatewayBoard, step: GatewayStep, progress: StoreProgress): void {
    const { register } = board;
    register.offset = progress.offset;
    if (this.#changedSince) register.lastChangeOffset = progress.offset;
    this.#changedSince = false;
    this.#reader.skipTo(progress.offset);
    const asOf = addMs(step.now, -progress.ageMs - READ_AGE_MS);
    if (asOf > register.asOf) register.asOf = asOf;
  }

  #askFor(board: GatewayBoard, step: GatewayStep, to: string): void {
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
   * Passes on what this daemon has read: the leader to all, any other one to those who place. Where the store refuses
   * the leader, the first that reads by itself thereby tells everyone. Returns whether there was anything to pass on.
   */
  #passOn(
    board: GatewayBoard,
    step: GatewayStep,
    updates: readonly UpstreamUpdate[],
  ): boolean {
    const { members, self } = board;
    const changes = changesOf(board, updates);
    const leads = members.leader === self.card.vm;
    // That nothing has changed is worth knowing for a leader that can't read.
    if (leads && changes.length === 0) return false;
    sendChanges(board, step, { changes });
    return changes.length > 0;
  }

  /** The leader passes on what another daemon has read before it. */
  #passOnHeard(
    board: GatewayBoard,
    step: GatewayStep,
    heard: Readonly<
      { progress: StoreProgress; updates: readonly UpstreamUpdate[] }
    >,
  ): void {
    const { members, self } = board;
    const changes = changesOf(board, heard.updates);
    if (changes.length === 0 || members.leader !== self.card.vm) return;
    sendChanges(board, step, { changes, progress: heard.progress });
  }

  #report(
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
  return changes.flatMap((one) => one.type === "entry" ? [one.entry] : []);
}

/** What others need to hear: the entries as they are now, and those that are gone. */
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
