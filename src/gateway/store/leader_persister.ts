import {
  addMs,
  type Millis,
  SECOND_MS,
  type Timestamp,
} from "../../core/time.ts";
import type { GatewayBoard } from "../gateway_board.ts";
import type { GatewayStep } from "../gateway_controller.ts";
import { UNKNOWN_ERA } from "./store_position.ts";

/** Time between becoming leader and the first read: a daemon that has just started mostly finds its peers within it. */
const STARTUP_DELAY_MS: Millis = 200;
/** Time between calls while the store serves: what is learnt must be kept before it is needed again. */
const MIN_CALL_GAP_MS: Millis = 100;
/** Time until the next call after one that failed, so that an overloaded store gets few. */
const RETRY_GAP_MS: Millis = 2 * SECOND_MS;
/** Longer than a call takes, with its time-out; a call without a result by then has none. */
const MAX_CALL_MS: Millis = 3 * SECOND_MS;

/**
 * Keeps a part of what this daemon knows in the store while it leads, so that it survives a restart of all daemons, and
 * writes it again when the store was restored without it.
 */
export abstract class LeaderPersister {
  #nextCallAt: Timestamp | undefined;
  /** Summary of what the store has; undefined until it has been read. */
  #storedSummary: string | undefined;
  /** The call in flight, with the summary of what a write contains. */
  #call: Readonly<{ at: Timestamp; writes?: string }> | undefined;
  /** Whether a call has failed since the last step. */
  #failed = false;
  /** Era of the store that the summaries are about; what was written before is gone. */
  #era = UNKNOWN_ERA;
  /** Era in which the call in flight was sent. */
  #callEra = UNKNOWN_ERA;

  /** Text that differs where what is known differs. */
  protected abstract summarize(board: GatewayBoard, now: Timestamp): string;
  /** Emits the intent that reads the store. */
  protected abstract read(step: GatewayStep): void;
  /** Emits the intent that replaces what the store has. */
  protected abstract write(board: GatewayBoard, step: GatewayStep): void;

  /** Applies the result of a read; undefined if it failed. */
  protected recordRead(summary: string | undefined): void {
    this.#call = undefined;
    if (summary === undefined) this.#failed = true;
    else if (this.#callEra === this.#era) this.#storedSummary = summary;
  }

  /** Applies the result of a write. */
  protected recordWritten(ok: boolean): void {
    const writes = this.#call?.writes;
    this.#call = undefined;
    if (!ok) this.#failed = true;
    else if (this.#callEra === this.#era) this.#storedSummary = writes;
  }

  /** Reads the store once, and writes whenever what is known differs from what the store has. */
  step(board: GatewayBoard, step: GatewayStep): void {
    const { members, self, store } = board;
    if (store.era !== this.#era) {
      this.#era = store.era;
      this.#storedSummary = undefined;
    }
    if (members.leader !== self.card.vm) {
      this.#nextCallAt = undefined;
      this.#storedSummary = undefined;
      this.#call = undefined;
      return;
    }
    if (this.#failed) this.#nextCallAt = addMs(step.now, RETRY_GAP_MS);
    this.#failed = false;
    const summary = this.summarize(board, step.now);
    this.#nextCallAt ??= addMs(step.now, STARTUP_DELAY_MS);
    if (this.#storedSummary === summary || this.#isCalling(step)) return;
    if (step.now < this.#nextCallAt) {
      step.wake(this.#nextCallAt);
      return;
    }
    this.#nextCallAt = addMs(step.now, MIN_CALL_GAP_MS);
    step.wake(this.#nextCallAt);
    this.#callEra = this.#era;
    this.#call = { at: step.now };
    if (this.#storedSummary === undefined) return this.read(step);
    this.#call = { at: step.now, writes: summary };
    this.write(board, step);
  }

  /** Whether the result of a call is still awaited. */
  #isCalling(step: GatewayStep): boolean {
    if (this.#call === undefined) return false;
    const endsAt = addMs(this.#call.at, MAX_CALL_MS);
    if (step.now >= endsAt) return false;
    step.wake(endsAt);
    return true;
  }
}
