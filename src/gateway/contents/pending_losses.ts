import type { UpstreamId } from "../../core/id.ts";
import type { Millis, Timestamp } from "../../core/time.ts";

/** Time within which a crash shows in the register: the upstream's entry lapses, or another process replaces it. */
const CONFIRMATION_WINDOW_MS: Millis = 10_000;
/** Time within which a broken connection still counts after the register has shown the upstream as gone or replaced. */
const LATE_FAILURE_WINDOW_MS: Millis = 1_000;
/** More than any upstream has slots. */
const MAX_CONTENTS_PER_UPSTREAM = 128;
/** More than the largest deployment has. */
const MAX_UPSTREAMS = 1_024;

/** Loss of contact with an upstream while it may have been running some content. */
export type UpstreamLoss = Readonly<{
  at: Timestamp;
  /** Unix time in ms of the start of the upstream's process, by the register; 0 where unknown. */
  startedAt: number;
  /** Whether the connection broke; otherwise the upstream fell silent. */
  disconnected: boolean;
}>;

/** Contents that lost upstreams may have been running, kept until it is known whether the process ended. */
export class PendingLosses {
  readonly #losses = new Map<UpstreamId, Map<string, UpstreamLoss>>();
  /** Upstreams whose process ended recently; attempts there may fail only afterwards. */
  readonly #endedAt = new Map<UpstreamId, Timestamp>();

  static create(): PendingLosses {
    return new PendingLosses();
  }

  /** Adds a loss; returns whether the register has already shown the upstream as gone or replaced. */
  add(digest: string, upstream: UpstreamId, loss: UpstreamLoss): boolean {
    const { at, disconnected } = loss;
    const losses = this.#lossesOf(upstream, at);
    // The newest losses are kept: the upstream was running those contents when it was lost.
    losses.delete(digest);
    losses.set(digest, loss);
    dropOldest(losses, MAX_CONTENTS_PER_UPSTREAM);
    const endedAt = this.#endedAt.get(upstream) ?? -Infinity;
    // A leaving upstream serves on after its entry is gone, then closes its connections: that is no crash.
    return at - endedAt <=
      (disconnected ? LATE_FAILURE_WINDOW_MS : CONFIRMATION_WINDOW_MS);
  }

  /** Removes and returns the losses of an upstream whose process has ended, by digest. */
  takeLosses(
    upstream: UpstreamId,
    now: Timestamp,
  ): ReadonlyMap<string, UpstreamLoss> {
    const losses = this.#lossesOf(upstream, now);
    this.#losses.delete(upstream);
    return losses;
  }

  /** Records that the register shows an upstream as gone or replaced. */
  processEnded(upstream: UpstreamId, now: Timestamp): void {
    this.#endedAt.delete(upstream);
    this.#endedAt.set(upstream, now);
    for (const [id, at] of this.#endedAt) {
      if (now - at > CONFIRMATION_WINDOW_MS) this.#endedAt.delete(id);
    }
  }

  /** Removes the losses of a content that ran successfully. */
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

/** Drops the entries that were inserted first. */
function dropOldest<K>(map: Map<K, unknown>, maxSize: number): void {
  for (const key of map.keys()) {
    if (map.size <= maxSize) return;
    map.delete(key);
  }
}
