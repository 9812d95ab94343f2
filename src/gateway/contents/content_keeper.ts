import {
  addMs,
  type Millis,
  SECOND_MS,
  type Timestamp,
} from "../../core/time.ts";
import { markOf } from "./content_table.ts";
import type { GatewayBoard } from "../gateway_board.ts";
import type { GatewayStep } from "../gateway_controller.ts";
import type { GatewayEvent } from "../gateway_event.ts";

/** Time of leading after which the store is asked: a daemon that has just started mostly hears of its peers within it. */
const SETTLE_MS: Millis = 200;
/** Time between calls: contents are quarantined rarely, and a store in trouble is not pressed. */
const SPACING_MS: Millis = 2 * SECOND_MS;

/** Keeps quarantined contents in the store while this daemon leads, so that they outlive all processes. */
export class ContentKeeper {
  #nextAt: Timestamp | undefined;
  /** What the store keeps, as far as this daemon knows; absent until it has been read. */
  #kept: string | undefined;
  #writing: string | undefined;

  static create(): ContentKeeper {
    return new ContentKeeper();
  }

  /** Notes what the store answered. */
  take(event: GatewayEvent): void {
    if (event.type === "contents_read" && event.records !== undefined) {
      this.#kept = markOf(event.records);
    }
    if (event.type === "contents_kept") {
      if (event.ok) this.#kept = this.#writing;
      this.#writing = undefined;
    }
  }

  /** Reads once, and writes whenever what is known differs from what is kept. */
  step(board: GatewayBoard, step: GatewayStep): void {
    const { members, self, contents } = board;
    if (members.leader !== self.card.vm) {
      this.#nextAt = undefined;
      this.#kept = undefined;
      return;
    }
    const { mark } = contents.suspects;
    this.#nextAt ??= addMs(step.now, SETTLE_MS);
    if (this.#kept === mark || this.#writing !== undefined) return;
    if (step.now < this.#nextAt) {
      step.wake(this.#nextAt);
      return;
    }
    this.#nextAt = addMs(step.now, SPACING_MS);
    step.wake(this.#nextAt);
    if (this.#kept === undefined) {
      step.emit({ type: "read_contents" });
      return;
    }
    this.#writing = mark;
    const records = contents.suspects.records(step.now)
      .filter((one) => markOf([one]) !== "");
    step.emit({ type: "keep_contents", records });
  }
}
