import {
  addMs,
  type Millis,
  SECOND_MS,
  type Timestamp,
} from "../../core/time.ts";
import { summarizeQuarantine } from "./content_table.ts";
import type { GatewayBoard } from "../gateway_board.ts";
import type { GatewayStep } from "../gateway_controller.ts";
import type { GatewayEvent } from "../gateway_event.ts";

/** Time between becoming leader and the first read: a daemon that has just started mostly finds its peers within it. */
const STARTUP_DELAY_MS: Millis = 200;
/** Time between calls: contents are quarantined rarely, and an overloaded store gets few calls. */
const MIN_CALL_GAP_MS: Millis = 2 * SECOND_MS;

/** Saves quarantined contents to the store while this daemon leads, so that they survive a restart of all daemons. */
export class QuarantinePersister {
  #nextCallAt: Timestamp | undefined;
  /** Summary of the contents in the store; undefined until the store has been read. */
  #storedSummary: string | undefined;
  /** Summary of the contents in the write that is in flight. */
  #writing: string | undefined;

  static create(): QuarantinePersister {
    return new QuarantinePersister();
  }

  /** Applies the store's response to a read or write. */
  onEvent(event: GatewayEvent): void {
    if (event.type === "contents_read" && event.records !== undefined) {
      this.#storedSummary = summarizeQuarantine(event.records);
    }
    if (event.type === "contents_kept") {
      if (event.ok) this.#storedSummary = this.#writing;
      this.#writing = undefined;
    }
  }

  /** Reads the store once, and writes whenever the known quarantined contents differ from the stored ones. */
  step(board: GatewayBoard, step: GatewayStep): void {
    const { members, self, contents } = board;
    if (members.leader !== self.card.vm) {
      this.#nextCallAt = undefined;
      this.#storedSummary = undefined;
      return;
    }
    const { quarantineSummary: summary } = contents.suspects;
    this.#nextCallAt ??= addMs(step.now, STARTUP_DELAY_MS);
    if (this.#storedSummary === summary || this.#writing !== undefined) return;
    if (step.now < this.#nextCallAt) {
      step.wake(this.#nextCallAt);
      return;
    }
    this.#nextCallAt = addMs(step.now, MIN_CALL_GAP_MS);
    step.wake(this.#nextCallAt);
    if (this.#storedSummary === undefined) {
      step.emit({ type: "read_contents" });
      return;
    }
    this.#writing = summary;
    const records = contents.suspects.records(step.now)
      .filter((record) => summarizeQuarantine([record]) !== "");
    step.emit({ type: "keep_contents", records });
  }
}
