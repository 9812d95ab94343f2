import type { Millis, Timestamp } from "../../core/time.ts";

/** When an attempt was sent, and when its upstream sent data. */
export class AttemptTimes {
  readonly sentAt: Timestamp;
  #firstAt: Timestamp | undefined;
  #lastAt: Timestamp;

  private constructor(sentAt: Timestamp) {
    this.sentAt = sentAt;
    this.#lastAt = sentAt;
  }

  static create(sentAt: Timestamp): AttemptTimes {
    return new AttemptTimes(sentAt);
  }

  /** Records that data arrived, even if only a part of an event. */
  received(now: Timestamp): void {
    this.#lastAt = now;
  }

  /** Records the first event, or the first data of another response. */
  receivedFirst(now: Timestamp): void {
    this.#firstAt = now;
  }

  /** Time since the attempt was sent or last received data. */
  silentMs(now: Timestamp): Millis {
    return now - this.#lastAt;
  }

  /** Time since the attempt was sent, and since its first data if there was any. */
  elapsed(now: Timestamp): Readonly<{ ranMs: Millis; answeringMs?: Millis }> {
    const ranMs = Math.round(now - this.sentAt);
    if (this.#firstAt === undefined) return { ranMs };
    return { ranMs, answeringMs: Math.round(now - this.#firstAt) };
  }
}
