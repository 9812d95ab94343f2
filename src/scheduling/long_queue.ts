import type { DaemonId, RequestId } from "../core/id.ts";
import { type Millis, SECOND_MS, type Timestamp } from "../core/time.ts";
import type { Ask } from "./ask.ts";

/** Silence after which the asker of a waiting prompt counts as gone. */
const ASKER_SILENCE_MS: Millis = 10 * SECOND_MS;

type Waiting = { ask: Ask; renewedAt: Timestamp };

/** Long prompts that wait for an engine. */
export class LongQueue {
  readonly #waiting = new Map<RequestId, Waiting>();

  private constructor() {}

  static create(): LongQueue {
    return new LongQueue();
  }

  get size(): number {
    return this.#waiting.size;
  }

  /** Takes a prompt in; false if `limit` prompts wait. */
  add(
    ask: Ask,
    options: Readonly<{ now: Timestamp; limit: number }>,
  ): boolean {
    const { now, limit } = options;
    if (this.#waiting.size >= limit) return false;
    this.#waiting.set(ask.request, { ask, renewedAt: now });
    return true;
  }

  /** Notes that the asker still waits; false if the prompt is not here. */
  renew(ask: Ask, now: Timestamp): boolean {
    const waiting = this.#waiting.get(ask.request);
    if (waiting === undefined) return false;
    waiting.ask = ask;
    waiting.renewedAt = now;
    return true;
  }

  remove(request: RequestId): void {
    this.#waiting.delete(request);
  }

  dropAsker(from: DaemonId): void {
    for (const { ask } of this.#waiting.values()) {
      if (ask.from === from) this.#waiting.delete(ask.request);
    }
  }

  /** Drops prompts whose asker has not renewed them for too long. */
  dropSilent(now: Timestamp): void {
    for (const { ask, renewedAt } of this.#waiting.values()) {
      if (now - renewedAt > ASKER_SILENCE_MS) {
        this.#waiting.delete(ask.request);
      }
    }
  }

  *asks(): Iterable<Ask> {
    for (const { ask } of this.#waiting.values()) yield ask;
  }

  /** Waiting prompts, the one with the least slack first. */
  inOrder(slack: (ask: Ask) => Millis): readonly Ask[] {
    return [...this.asks()].sort((a, b) => slack(a) - slack(b));
  }
}
