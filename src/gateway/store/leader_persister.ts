import {
  addMs,
  type Millis,
  SECOND_MS,
  type Timestamp,
} from "../../core/time.ts";
import type { GatewayBoard } from "../gateway_board.ts";
import type { GatewayStep } from "../gateway_controller.ts";
import type { KeepOptions, WriteId, WriteResult } from "../gateway_event.ts";
import { UNKNOWN_ERA } from "./store_position.ts";

/** Time between becoming leader and the first read: a daemon that has just started mostly finds its peers within it. */
const STARTUP_DELAY_MS: Millis = 200;
/** Time between calls while the store serves: what is learnt must be kept before it is needed again. */
const MIN_CALL_GAP_MS: Millis = 100;
/** Time until the next call after one that failed, so that an overloaded store gets few. */
const RETRY_GAP_MS: Millis = 2 * SECOND_MS;
/** Longer than a call takes, with its time-out; a call without a result by then has failed. */
const MAX_CALL_MS: Millis = 3 * SECOND_MS;
/** Writes that may be under way at a time. */
const MAX_WRITES = 4;

/** What the store holds: a summary, and the offset at which the topic ends. */
type Stored = Readonly<{ summary: string; end: number }>;

/** A write under way; the topic ends at `end` once it is carried out. */
type Write = Stored & Readonly<{ id: WriteId; at: Timestamp }>;

/**
 * Keeps a part of what this daemon knows in the store while it leads, so that it survives a restart of all daemons, and
 * writes it again when the store was restored without it. Each write is for one offset of the topic: one that is carried
 * out late, after another daemon or a newer write, is not carried out at all. A newer write doesn't wait for an older
 * one, and follows it at the next offset.
 */
export abstract class LeaderPersister {
  #nextCallAt: Timestamp | undefined;
  /** Undefined until it has been read, and from when that is uncertain until it is read again. */
  #stored: Stored | undefined;
  /** When the read in flight was sent. */
  #readAt: Timestamp | undefined;
  /** Writes under way, in order. */
  #writes: readonly Write[] = [];
  #nextWrite: WriteId = 1;
  /** Whether a call has failed since the last step. */
  #failed = false;
  /** Era of the store that all this is about; what was written before is gone. */
  #era = UNKNOWN_ERA;
  /** Era in which the read in flight was sent. */
  #readEra = UNKNOWN_ERA;

  /** Text that differs where what is known differs. */
  protected abstract summarize(board: GatewayBoard, now: Timestamp): string;
  /** Emits the intent that reads the store. */
  protected abstract read(step: GatewayStep): void;
  /** Emits the intent that replaces what the store has. */
  protected abstract write(
    board: GatewayBoard,
    step: GatewayStep,
    options: KeepOptions,
  ): void;

  /** Applies the result of a read; undefined if it failed. */
  protected recordRead(stored: Stored | undefined): void {
    if (this.#readAt === undefined) return;
    this.#readAt = undefined;
    if (stored === undefined) this.#failed = true;
    else if (this.#readEra === this.#era) this.#stored = stored;
  }

  /** Applies the result of a write. After one that was not written, or may not have been, the store is read again. */
  protected recordWritten(id: WriteId, result: WriteResult): void {
    const write = this.#writes.find((one) => one.id === id);
    if (write === undefined) return;
    if (result !== "written") return this.#forget(result === "failed");
    // A write is carried out behind all that precede it.
    this.#writes = this.#writes.filter((one) => one.end > write.end);
    this.#stored = write;
  }

  /** Reads the store once, and writes whenever what is known differs from what the store has. */
  step(board: GatewayBoard, step: GatewayStep): void {
    const { members, self, store } = board;
    if (store.era !== this.#era) {
      this.#era = store.era;
      this.#forget(false);
    }
    if (members.leader !== self.card.vm) {
      this.#forget(false);
      this.#nextCallAt = undefined;
      return;
    }
    this.#expireCalls(step);
    if (this.#failed) this.#nextCallAt = addMs(step.now, RETRY_GAP_MS);
    this.#failed = false;
    const summary = this.summarize(board, step.now);
    this.#nextCallAt ??= addMs(step.now, STARTUP_DELAY_MS);
    const newest = this.#writes.at(-1) ?? this.#stored;
    if (newest?.summary === summary || !this.#mayCall) return;
    if (step.now < this.#nextCallAt) {
      step.wake(this.#nextCallAt);
      return;
    }
    this.#nextCallAt = addMs(step.now, MIN_CALL_GAP_MS);
    step.wake(this.#nextCallAt);
    if (newest === undefined) {
      this.#readAt = step.now;
      this.#readEra = this.#era;
      return this.read(step);
    }
    const id = this.#nextWrite;
    this.#nextWrite += 1;
    const write = { id, at: step.now, summary, end: newest.end + 1 };
    this.#writes = [...this.#writes, write];
    this.write(board, step, { write: id, at: newest.end });
  }

  get #mayCall(): boolean {
    return this.#readAt === undefined && this.#writes.length < MAX_WRITES;
  }

  /** Counts calls without a result as failed. */
  #expireCalls(step: GatewayStep): void {
    const oldestAt = this.#readAt ?? this.#writes[0]?.at;
    if (oldestAt === undefined) return;
    const endsAt = addMs(oldestAt, MAX_CALL_MS);
    if (step.now >= endsAt) this.#forget(true);
    else step.wake(endsAt);
  }

  #forget(failed: boolean): void {
    this.#stored = undefined;
    this.#writes = [];
    this.#readAt = undefined;
    this.#failed ||= failed;
  }
}
