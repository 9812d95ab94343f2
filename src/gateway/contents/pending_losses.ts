import type { UpstreamId } from "../../core/id.ts";
import type { Millis, Timestamp } from "../../core/time.ts";

/** Time in which an upstream's crash shows in the register: its entry lapses, or another process takes its place. */
const CONFIRMATION_WINDOW_MS: Millis = 10_000;
/** Time in which an attempt is seen to fail whose upstream the register has just named as gone or replaced. */
const LATE_FAILURE_WINDOW_MS: Millis = 1_000;
/** Contents that are remembered for one upstream; more than any has slots. */
const MAX_CONTENTS_PER_UPSTREAM = 128;
/** Upstreams that are remembered; more than the largest deployment has. */
const MAX_UPSTREAMS = 1_024;

/** The loss of an upstream while it may have been at work on some content. */
export type UpstreamLoss = Readonly<{
  at: Timestamp;
  /** Unix time in ms of the start of the upstream's process, as far as the register has told. */
  startedAt: number;
  /** Whether the connection broke, rather than fell silent. */
  disconnected: boolean;
}>;

/** What an upstream that was lost may have been at work on, until it is known whether its process ended. */
export class PendingLosses {
  readonly #losses = new Map<UpstreamId, Map<string, UpstreamLoss>>();
  /** Upstreams whose process ended of late; the attempts that ran there may fail only afterwards. */
  readonly #endedAt = new Map<UpstreamId, Timestamp>();

  static create(): PendingLosses {
    return new PendingLosses();
  }

  /** Notes a loss; returns whether the register has named the upstream as gone or replaced already. */
  add(digest: string, upstream: UpstreamId, loss: UpstreamLoss): boolean {
    const { at, disconnected } = loss;
    const losses = this.#lossesOf(upstream, at);
    // The newest losses are kept: the upstream was lost while it was at work on those.
    losses.delete(digest);
    losses.set(digest, loss);
    dropOldest(losses, MAX_CONTENTS_PER_UPSTREAM);
    const endedAt = this.#endedAt.get(upstream) ?? -Infinity;
    // A leaving upstream serves on after its entry is gone, and then closes its connections.
    return at - endedAt <=
      (disconnected ? LATE_FAILURE_WINDOW_MS : CONFIRMATION_WINDOW_MS);
  }

  /** Takes out the contents that an upstream was lost with whose process is gone. */
  takeLosses(
    upstream: UpstreamId,
    now: Timestamp,
  ): ReadonlyMap<string, UpstreamLoss> {
    const losses = this.#lossesOf(upstream, now);
    this.#losses.delete(upstream);
    return losses;
  }

  /** Notes that the register names an upstream as gone or replaced. */
  processEnded(upstream: UpstreamId, now: Timestamp): void {
    this.#endedAt.delete(upstream);
    this.#endedAt.set(upstream, now);
    for (const [id, at] of this.#endedAt) {
      if (now - at > CONFIRMATION_WINDOW_MS) this.#endedAt.delete(id);
    }
  }

  /** Forgets a content that was answered with success. */
  clear(digest: string): void {
    for (const losses of this.#losses.values()) losses.delete(digest);
  }

  #lossesOf(upstream: UpstreamId, now: Timestamp): Map<string, UpstreamLoss> {
    const losses = this.#losses.get(upstream) ??
      new Map<string, UpstreamLoss>();
    for (const [digest, { at }] of losses) {
      if (now - at > CONFIRMATION_WINDOW_MS) losses.delete(digest);
    }
    this.#losses.delete(upstream);
    this.#losses.set(upstream, losses);
    dropOldest(this.#losses, MAX_UPSTREAMS);
    return losses;
  }
}

/** Drops the entries that were set first. */
function dropOldest<K>(map: Map<K, unknown>, maxSize: number): void {
  for (const key of map.keys()) {
    if (map.size <= maxSize) return;
    map.delete(key);
  }
}
