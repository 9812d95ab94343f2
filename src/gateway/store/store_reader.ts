import { addMs, type Millis, type Timestamp } from "../../core/time.ts";
import type { GatewayStep } from "../gateway_controller.ts";
import type { StoreTopic } from "../gateway_event.ts";
import type { StoreError } from "./platform_store.ts";

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
}>;

/** Reads one topic of the store, one call at a time, each from the offset at which the last one ended. */
export class StoreReader {
  readonly #topic: StoreTopic;
  #offset: number | undefined;
  #sentAt: Timestamp | undefined;
  #notBefore = 0 as Timestamp;
  #failures = 0;
  #failing = false;
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
  poll(step: GatewayStep, timing: PollTiming): void {
    if (this.#sentAt !== undefined) return;
    const backoffMs = this.#failing ? timing.backoffMs ?? 0 : 0;
    const notBefore = Math.max(this.#notBefore, this.#failedAt + backoffMs);
    if (step.now < notBefore) {
      step.wake(notBefore);
      return;
    }
    this.#sentAt = step.now;
    this.#notBefore = addMs(step.now, timing.minGapMs);
    const waitMs = this.#offset === undefined ? 0 : timing.waitMs;
    step.emit({
      type: "read",
      topic: this.#topic,
      from: this.#offset,
      waitMs,
    });
  }

  /** Records a successful read; `next` is the offset of the next one. */
  succeeded(step: GatewayStep, next: number): void {
    this.#offset = next;
    this.#sentAt = undefined;
    if (this.#failing) step.line("store_up", { topic: this.#topic, next });
    this.#failing = false;
    this.#failures = 0;
  }

  /** Records a failed read; an `expired` offset restarts from the whole topic without a back-off. */
  failed(step: GatewayStep, err: StoreError): void {
    this.#sentAt = undefined;
    if (err.code === "expired") {
      step.line("store_expired", {
        topic: this.#topic,
        next: this.#offset ?? -1,
      });
      this.#offset = undefined;
      this.#notBefore = step.now;
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

  /** Moves on to a later offset that a peer has read; no effect before the first read. */
  skipTo(next: number): void {
    if (this.#offset !== undefined && next > this.#offset) this.#offset = next;
  }
}
