import type { Digest, Incarnation, UpstreamId } from "../core/id.ts";
import type { Timestamp } from "../core/time.ts";
import { BlockSuspects } from "../suspects/block_suspects.ts";
import { RecentSuccesses } from "../suspects/recent_successes.ts";

/** Content that was running on engines when they crashed. */
export type Suspect = Readonly<{
  /** Crashed incarnations of engines, as `upstream/incarnation`. */
  crashes: readonly string[];
  upstreams: readonly UpstreamId[];
  /** Leading blocks of the prompt; absent in reports of earlier builds. */
  blocks?: readonly Digest[];
  seenAt: Timestamp;
}>;

/** What ran on an engine when it crashed. */
export type Aboard = Readonly<{
  /** Time of the crash's first report here. */
  at: Timestamp;
  /** Undefined where another daemon placed it; reports of the others may be on their way. */
  contents?: readonly Readonly<{ digest: Digest; blocks: readonly Digest[] }>[];
}>;

/** Content on an engine that stopped responding; whether the engine crashed is not known. */
export type SilentRun = Readonly<{
  upstream: UpstreamId;
  incarnation: Incarnation;
  /** Whether this daemon observed the silence itself; only then is it reported to peers. */
  observedHere: boolean;
  /** Leading blocks that were not answered; absent in reports of earlier builds. */
  blocks?: readonly Digest[];
  silentSince: Timestamp;
  /** Time of the engine's first response after the silence. */
  respondingSince?: Timestamp;
}>;

/** Content that is suspected or refused; written by `QuarantineController`. */
export type QuarantineSection = {
  suspects: Map<Digest, Suspect>;
  quarantined: Map<Digest, Timestamp>;
  /** Runs of each content on engines that stopped responding and may have crashed. */
  silentRuns: Map<Digest, readonly SilentRun[]>;
  /** By crashed incarnation of an engine, as `upstream/incarnation`. */
  aboard: Map<string, Aboard>;
  /** Contents that were answered, at this daemon or for a daemon that it places prompts for. */
  answered: RecentSuccesses;
  /** Leading blocks of prompts that are suspected or refused; `PlacementController` starts and ends their trials. */
  blocks: BlockSuspects;
  /** Number of crashes that this daemon observed itself. */
  crashesSeen: number;
};

/** State at start. */
export function createQuarantineSection(): QuarantineSection {
  return {
    suspects: new Map(),
    quarantined: new Map(),
    silentRuns: new Map(),
    aboard: new Map(),
    answered: RecentSuccesses.create(),
    blocks: BlockSuspects.create(),
    crashesSeen: 0,
  };
}
