import type { DaemonId, RequestId } from "../core/id.ts";
import { type Millis, SECOND_MS, type Timestamp } from "../core/time.ts";
import type { CellPlacementRequest } from "./cell_placement.ts";

/** Time without a renewal after which a queued prompt is removed, because its daemon has probably stopped. */
const RENEWAL_TIMEOUT_MS: Millis = 10 * SECOND_MS;

type QueuedRequest = { ask: CellPlacementRequest; renewedAt: Timestamp };

/** Prompts that wait for an engine: long ones, and those kept apart from suspected content or copies. */
export class LongQueue {
  readonly #queued = new Map<RequestId, QueuedRequest>();

  private constructor() {}

  static create(): LongQueue {
    return new LongQueue();
  }

  get size(): number {
    return this.#queued.size;
  }

  /** Adds a prompt; false if the queue already holds `limit` prompts. */
  add(
    ask: CellPlacementRequest,
    options: Readonly<{ now: Timestamp; limit: number }>,
  ): boolean {
    const { now, limit } = options;
    if (this.#queued.size >= limit) return false;
    this.#queued.set(ask.request, { ask, renewedAt: now });
    return true;
  }

  /** Renews a queued prompt with the newest request for it; false if it is not queued. */
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

  /** Removes prompts that were not renewed in time. */
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

  /** Queued prompts in order of slack, the least first. */
  bySlack(
    slack: (ask: CellPlacementRequest) => Millis,
  ): readonly CellPlacementRequest[] {
    return [...this.requests()].sort((a, b) => slack(a) - slack(b));
  }
}
