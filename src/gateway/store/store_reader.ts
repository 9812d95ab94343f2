import { addMs, type Millis, type Timestamp } from "../../core/time.ts";
import type { GatewayStep } from "../gateway_controller.ts";
import type { StoreTopic } from "../gateway_event.ts";
import type { StoreSection } from "../gateway_board.ts";
import type { StoreError } from "./platform_store.ts";
import {
  isBefore,
  type StoreEra,
  type StorePosition,
  UNKNOWN_ERA,
} from "./store_position.ts";

/** Back-off after the first failed read; doubles with each further failure, up to `MAX_BACKOFF_MS`. */
const FIRST_BACKOFF_MS: Millis = 250;
/** Upper limit of the back-off; daemons that read only for themselves set a longer one in `PollTiming`. */
const MAX_BACKOFF_MS: Millis = 1_000;

/** Timing of the reads of one topic. */
export type PollTiming = Readonly<{
  /** How long the store may hold a long poll for new records. */
  waitMs: Millis;
  /** Shortest time between the starts of two reads. */
  minGapMs: Millis;
  /** Shortest time after a failed read; longer for daemons that read only for themselves. */
  backoffMs?: Millis;
  /** Whether the read must be one of the whole topic. */
  whole?: boolean;
}>;

/** Reads one topic of the store, one call at a time, each from the offset at which the last one ended. */
export class StoreReader {
  readonly #topic: StoreTopic;
  #position: StorePosition | undefined;
  /** Where the running read starts; undefined for the whole topic. */
  #sentFrom: StorePosition | undefined;
  #sentAt: Timestamp | undefined;
  /** Newest known era of the store when the running read started. */
  #sentEra = UNKNOWN_ERA;
  #notBefore = 0 as Timestamp;
  #failures = 0;
  #failing = false;
  #isAnswered = false;
  #failedAt = 0 as Timestamp;

  private constructor(topic: StoreTopic) {
    this.#topic = topic;
  }

  static create(topic: StoreTopic): StoreReader {
    return new StoreReader(topic);
  }

  /** Whether the last read failed. */
  get failing(): boolean {
    return this.#failing;
  }

  /** Starts a read if one is due and none is running; otherwise requests a step for when it is due. */
  poll(step: GatewayStep, store: StoreSection, timing: PollTiming): void {
    if (this.#sentAt !== undefined) return;
    if (this.#position !== undefined && this.#position.era < store.era) {
      this.#position = undefined;
      if (!this.#failing) this.#notBefore = step.now;
    }
    const backoffMs = this.#failing ? timing.backoffMs ?? 0 : 0;
    const notBefore = Math.max(this.#notBefore, this.#failedAt + backoffMs);
    if (step.now < notBefore) {
      step.wake(notBefore);
      return;
    }
    this.#sentAt = step.now;
    this.#notBefore = addMs(step.now, timing.minGapMs);
    if (timing.whole === true) this.#position = undefined;
    this.#sentFrom = this.#position;
    this.#sentEra = store.era;
    const from = this.#position?.offset;
    const waitMs = from === undefined ? 0 : timing.waitMs;
    step.emit({ type: "read", topic: this.#topic, from, waitMs });
  }

  /**
   * Records an answer to a read; returns the position that it reaches. Undefined if its records must not be used, as
   * its era is older than the known one, or does not continue from where the read started; the whole topic is then
   * read, and at once unless the store was asked when that era was known already.
   */
  succeeded(
    step: GatewayStep,
    answer: Readonly<{ next: number; era?: StoreEra }>,
    store: StoreSection,
  ): StorePosition | undefined {
    this.#isAnswered = true;
    const { next } = answer;
    const era = answer.era ?? store.era;
    this.#sentAt = undefined;
    if (this.#failing) step.line("store_up", { topic: this.#topic, next });
    this.#failing = false;
    this.#failures = 0;
    const from = this.#sentFrom;
    if (era < store.era || (from !== undefined && era > from.era)) {
      step.line("store_answer_dropped", {
        topic: this.#topic,
        era,
        next,
        known_era: store.era,
        from_era: from?.era ?? UNKNOWN_ERA,
        from: from?.offset ?? -1,
      });
      if (era < this.#sentEra) this.#position = undefined;
      else this.#restart(step);
      return undefined;
    }
    this.#position = { era, offset: next };
    return this.#position;
  }

  /** Records a failed read; an `expired` offset restarts from the whole topic without a back-off. */
  failed(step: GatewayStep, err: StoreError): void {
    this.#sentAt = undefined;
    if (err.code === "expired") {
      step.line("store_expired", {
        topic: this.#topic,
        next: this.#position?.offset ?? -1,
        era: this.#position?.era ?? UNKNOWN_ERA,
      });
      this.#restart(step);
      return;
    }
    if (!this.#failing) {
      step.line("store_down", {
        topic: this.#topic,
        code: err.code,
        detail: err.detail,
      });
    }
    this.#failing = true;
    this.#failedAt = step.now;
    const backoff = FIRST_BACKOFF_MS * 2 ** this.#failures;
    this.#failures += 1;
    this.#notBefore = addMs(step.now, Math.min(MAX_BACKOFF_MS, backoff));
  }

  /** Lets the first read begin at a position, as a peer's whole table reaches up to it; no effect after an answer. */
  beginAt(position: StorePosition): void {
    if (!this.#isAnswered) this.#position ??= position;
  }

  /** Moves on to a later position that a peer has read; no effect before the first read. */
  skipTo(position: StorePosition): void {
    if (this.#position !== undefined && isBefore(this.#position, position)) {
      this.#position = position;
    }
  }

  /** Lets the next read be one of the whole topic, at once. */
  #restart(step: GatewayStep): void {
    this.#position = undefined;
    this.#notBefore = step.now;
    this.#failedAt = 0 as Timestamp;
  }
}
