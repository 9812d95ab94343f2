import type { Digest, Incarnation, UpstreamId } from "../core/id.ts";
import type { Timestamp } from "../core/time.ts";

/** Content that was running on engines when they crashed. */
export type Suspect = Readonly<{
  /** Crashed runs of engines, as `upstream/incarnation`. */
  crashes: readonly string[];
  upstreams: readonly UpstreamId[];
  seenAt: Timestamp;
}>;

/** A run on an engine that fell silent; whether it crashes the engine is not known yet. */
export type SilentRun = Readonly<{
  upstream: UpstreamId;
  incarnation: Incarnation;
  /** Whether this daemon saw it; only then it tells others. */
  observedHere: boolean;
  silentSince: Timestamp;
  /** When the engine was first heard of again. */
  respondingSince?: Timestamp;
}>;

/** Content that is suspected or refused; written by `QuarantineController`. */
export type QuarantineSection = {
  suspects: Map<Digest, Suspect>;
  quarantined: Map<Digest, Timestamp>;
  /** Content that may yet crash engines on which it runs, or did. */
  silentRuns: Map<Digest, readonly SilentRun[]>;
  /** Grows with each crash that this daemon has seen itself. */
  crashesSeen: number;
};

/** A daemon's view at its start. */
export function createQuarantineSection(): QuarantineSection {
  return {
    suspects: new Map(),
    quarantined: new Map(),
    silentRuns: new Map(),
    crashesSeen: 0,
  };
}
