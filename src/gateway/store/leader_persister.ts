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
/** Time between calls: what is kept changes rarely, and an overloaded store gets few calls. */
const MIN_CALL_GAP_MS: Millis = 2 * SECOND_MS;

/**
 * Keeps a part of what this daemon knows in the store while it leads, so that it survives a restart of all daemons, and
 * writes it again when the store was restored without it.
 */
export abstract class LeaderPersister {
  #nextCallAt: Timestamp | undefined;
  /** Summary of what the store has; undefined until it has been read. */
  #storedSummary: string | undefined;
  /** Summary of what the write in flight contains. */
  #writing: string | undefined;
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

  /** Applies a completed read. */
  protected recordRead(summary: string): void {
    if (this.#callEra === this.#era) this.#storedSummary = summary;
  }

  /** Applies the result of a write. */
  protected recordWritten(ok: boolean): void {
    if (ok && this.#callEra === this.#era) this.#storedSummary = this.#writing;
    this.#writing = undefined;
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
      return;
    }
    const summary = this.summarize(board, step.now);
    this.#nextCallAt ??= addMs(step.now, STARTUP_DELAY_MS);
    if (this.#storedSummary === summary || this.#writing !== undefined) return;
    if (step.now < this.#nextCallAt) {
      step.wake(this.#nextCallAt);
      return;
    }
    this.#nextCallAt = addMs(step.now, MIN_CALL_GAP_MS);
    step.wake(this.#nextCallAt);
    this.#callEra = this.#era;
    if (this.#storedSummary === undefined) return this.read(step);
    this.#writing = summary;
    this.write(board, step);
  }
}
