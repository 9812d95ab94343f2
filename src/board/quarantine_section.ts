import type { Digest, UpstreamId } from "../core/id.ts";
import type { Timestamp } from "../core/time.ts";

/** Content that was running on engines when they crashed. */
export type Suspect = Readonly<{
  /** Crashed runs of engines, as `upstream/incarnation`. */
  crashes: readonly string[];
  upstreams: readonly UpstreamId[];
  seenAt: Timestamp;
}>;

/** Content that is suspected or refused; written by `QuarantineController`. */
export type QuarantineSection = {
  suspects: Map<Digest, Suspect>;
  quarantined: Map<Digest, Timestamp>;
  /** Grows with each crash that this daemon has seen itself. */
  crashesSeen: number;
};

/** A daemon's view at its start. */
export function createQuarantineSection(): QuarantineSection {
  return { suspects: new Map(), quarantined: new Map(), crashesSeen: 0 };
}
