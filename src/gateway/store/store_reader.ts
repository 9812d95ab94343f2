import { addMs, type Millis, type Timestamp } from "../../core/time.ts";
import type { GatewayStep } from "../gateway_controller.ts";
import type { StoreTopic } from "../gateway_event.ts";
import type { StoreError } from "./platform_store.ts";

/** Time to the next try after a failed reading, doubled by each failure up to the largest. */
const FIRST_BACKOFF_MS: Millis = 250;
/** Largest backoff of a daemon that reads for others. */
const MAX_BACKOFF_MS: Millis = 1_000;

/** How a topic of the store is read. */
export type PollTiming = Readonly<{
  /** How long the store may wait for something new. */
  waitMs: Millis;
  /** Shortest time between the starts of two readings. */
  minGapMs: Millis;
  /** Shortest time after a failed reading; daemons that only read for themselves leave more. */
  backoffMs?: Millis;
}>;

/** Reads one topic of the store, one call at a time, and goes on where the last one ended. */
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

  /** Whether the last reading failed. */
  get failing(): boolean {
    return this.#failing;
  }

  /** Starts a reading if one is due; says when the next one is. */
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

  /** Applies a good reading. */
  succeeded(step: GatewayStep, next: number): void {
    this.#offset = next;
    this.#sentAt = undefined;
    if (this.#failing) step.line("store_up", { topic: this.#topic, next });
    this.#failing = false;
    this.#failures = 0;
  }

  /** Applies a failed reading. */
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

  /** Goes on from elsewhere, where a peer has read further. */
  skipTo(next: number): void {
    if (this.#offset !== undefined && next > this.#offset) this.#offset = next;
  }
}
