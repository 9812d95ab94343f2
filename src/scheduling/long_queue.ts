import type { DaemonId, RequestId } from "../core/id.ts";
import { type Millis, SECOND_MS, type Timestamp } from "../core/time.ts";
import type { CellPlacementRequest } from "./cell_placement.ts";

/** Silence after which the asker of a waiting prompt counts as gone. */
const RENEWAL_TIMEOUT_MS: Millis = 10 * SECOND_MS;

type QueuedRequest = { ask: CellPlacementRequest; renewedAt: Timestamp };

/** Long prompts that wait for an engine. */
export class LongQueue {
  readonly #queued = new Map<RequestId, QueuedRequest>();

  private constructor() {}

  static create(): LongQueue {
    return new LongQueue();
  }

  get size(): number {
    return this.#queued.size;
  }

  /** Takes a prompt in; false if `limit` prompts wait. */
  add(
    ask: CellPlacementRequest,
    options: Readonly<{ now: Timestamp; limit: number }>,
  ): boolean {
    const { now, limit } = options;
    if (this.#queued.size >= limit) return false;
    this.#queued.set(ask.request, { ask, renewedAt: now });
    return true;
  }

  /** Notes that the asker still waits; false if the prompt is not here. */
  renew(ask: CellPlacementRequest, now: Timestamp): boolean {
    const queued = this.#queued.get(ask.request);
    if (queued === undefined) return false;
    queued.ask = ask;
    queued.renewedAt = now;
    return true;
  }

  remove(request: RequestId): void {
    this.#queued.delete(request);
  }

  removeDaemon(from: DaemonId): void {
    for (const { ask } of this.#queued.values()) {
      if (ask.from === from) this.#queued.delete(ask.request);
    }
  }

  /** Drops prompts whose asker has not renewed them for too long. */
  removeExpired(now: Timestamp): void {
    for (const { ask, renewedAt } of this.#queued.values()) {
      if (now - renewedAt > RENEWAL_TIMEOUT_MS) {
        this.#queued.delete(ask.request);
      }
    }
  }

  *requests(): Iterable<CellPlacementRequest> {
    for (const { ask } of this.#queued.values()) yield ask;
  }

  /** Waiting prompts, the one with the least slack first. */
  bySlack(
    slack: (ask: CellPlacementRequest) => Millis,
  ): readonly CellPlacementRequest[] {
    return [...this.requests()].sort((a, b) => slack(a) - slack(b));
  }
}
