import type { UpstreamId } from "../core/id.ts";
import type { Millis, Timestamp } from "../core/time.ts";
import type { ContentReport } from "./content_report.ts";

/** Time in which an upstream's crash shows in the register: its entry lapses, or another process takes its place. */
const CONFIRM_MS: Millis = 10_000;
/** Time in which an attempt is seen to fail whose upstream the register has just named as gone or replaced. */
const NOTICE_MS: Millis = 1_000;
/** Connections with different contents that break within this time broke because their upstream crashed. */
const TOGETHER_MS: Millis = 300;
/** How long a content that has crashed upstreams is held against it. */
const REMEMBER_MS: Millis = 60_000;
/** Confirmed crashes after which the content is refused. */
const MAX_CRASHES = 2;
/** Time until one request with refused content is tried; each further crash doubles it. */
const PROBATION_MS: Millis = 5_000;
/** Contents and connections that are remembered at most. */
const MAX_ENTRIES = 256;

type Broken = Readonly<{
  digest: string;
  upstream: UpstreamId;
  at: Timestamp;
  /** Whether the connection broke, rather than fell silent. */
  disconnected: boolean;
}>;

/** How a crash was confirmed. */
export type CrashEvidence = "register" | "unreachable" | "together";

/** What has changed about a content. */
export type ContentUpdate = Readonly<{
  kind: "suspected" | "cleared";
  digest: string;
  /** Confirmed crashes, before the change where it was cleared. */
  crashes: number;
  upstream?: UpstreamId;
  evidence?: CrashEvidence;
  /** Time from the broken connection to its confirmation. */
  brokeMsAgo?: Millis;
}>;
type Suspect = { crashes: number; at: Timestamp; triedAt: Timestamp };

/**
 * Tells content that crashes the upstreams that run it. A broken connection alone proves nothing: a crash counts
 * only once the upstream's process is seen to be gone (by the register, by a refused connection, or by others that
 * broke with it), and an answer clears the content.
 */
export class CrashSuspects {
  #broken: Broken[] = [];
  /** Upstreams whose process ended of late; the attempts that ran there may fail only afterwards. */
  readonly #gone = new Map<UpstreamId, Timestamp>();
  readonly #suspects = new Map<string, Suspect>();

  static create(): CrashSuspects {
    return new CrashSuspects();
  }

  /** Contents that have crashed an upstream. */
  get size(): number {
    return this.#suspects.size;
  }

  /** Confirmed crashes of a content. */
  crashes(digest: string): number {
    return this.#suspects.get(digest)?.crashes ?? 0;
  }

  /** Applies how an upstream fared with some content. */
  report(
    report: ContentReport,
    upstream: UpstreamId,
    now: Timestamp,
  ): readonly ContentUpdate[] {
    const { digest, outcome } = report;
    switch (outcome) {
      case "disconnected":
        return this.connectionBroke(digest, upstream, now);
      case "silent":
        return this.#lost(digest, upstream, now);
      case "answered":
        return this.answered(digest);
      case "not_run":
        return [];
    }
  }

  /** Notes that the connection broke on which an upstream ran some content. */
  connectionBroke(
    digest: string,
    upstream: UpstreamId,
    at: Timestamp,
  ): readonly ContentUpdate[] {
    const together = this.#broken.some((one) =>
      one.upstream === upstream && one.digest !== digest && one.disconnected &&
      at - one.at <= TOGETHER_MS
    );
    const updates = this.#lost(digest, upstream, at, { disconnected: true });
    if (!together) return updates;
    return [...updates, ...this.upstreamGone(upstream, "together", at)];
  }

  /** Notes that an upstream was lost while it may have been at work on some content. */
  #lost(
    digest: string,
    upstream: UpstreamId,
    at: Timestamp,
    options: Readonly<{ disconnected?: boolean }> = {},
  ): readonly ContentUpdate[] {
    const disconnected = options.disconnected === true;
    this.#broken = this.#broken.filter((one) => at - one.at <= CONFIRM_MS);
    if (this.#broken.length < MAX_ENTRIES) {
      this.#broken.push({ digest, upstream, at, disconnected });
    }
    const goneAt = this.#gone.get(upstream) ?? -Infinity;
    // A leaving upstream serves on after its entry is gone, and then closes its connections.
    if (at - goneAt > (disconnected ? NOTICE_MS : CONFIRM_MS)) return [];
    return this.upstreamGone(upstream, "register", at);
  }

  /** Notes that an upstream's process is gone. */
  upstreamGone(
    upstream: UpstreamId,
    evidence: CrashEvidence,
    now: Timestamp,
  ): readonly ContentUpdate[] {
    if (evidence === "register") {
      this.#gone.set(upstream, now);
      for (const [id, at] of this.#gone) {
        if (now - at > CONFIRM_MS) this.#gone.delete(id);
      }
    }
    // One crash counts once for a content, however many requests with it were running.
    const broken = new Map(
      this.#broken.filter((one) =>
        one.upstream === upstream && now - one.at <= CONFIRM_MS
      ).map((one) => [one.digest, one.at]),
    );
    this.#broken = this.#broken.filter((one) => one.upstream !== upstream);
    return [...broken].map(([digest, brokeAt]) => {
      const crashes = this.crashes(digest) + 1;
      if (this.#suspects.size >= MAX_ENTRIES) this.#dropOldest();
      this.#suspects.set(digest, { crashes, at: now, triedAt: now });
      const brokeMsAgo = now - brokeAt;
      return {
        kind: "suspected",
        digest,
        crashes,
        upstream,
        evidence,
        brokeMsAgo,
      };
    });
  }

  /** Notes that some content was answered. */
  answered(digest: string): readonly ContentUpdate[] {
    this.#broken = this.#broken.filter((one) => one.digest !== digest);
    const crashes = this.crashes(digest);
    if (!this.#suspects.delete(digest)) return [];
    return [{ kind: "cleared", digest, crashes }];
  }

  /**
   * Whether a request with this content may run now. Refused content is tried again, one request at a time and less
   * and less often: a link that failed twice may have made healthy content look bad.
   */
  mayRun(digest: string, now: Timestamp): boolean {
    const suspect = this.#suspects.get(digest);
    if (suspect === undefined || suspect.crashes < MAX_CRASHES) return true;
    if (now - suspect.at > REMEMBER_MS) return true;
    const waitMs = PROBATION_MS * 2 ** (suspect.crashes - MAX_CRASHES);
    if (now - suspect.triedAt < waitMs) return false;
    suspect.triedAt = now;
    return true;
  }

  #dropOldest(): void {
    const [oldest] = this.#suspects.keys();
    if (oldest !== undefined) this.#suspects.delete(oldest);
  }
}
