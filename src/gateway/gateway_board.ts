import type { VmId } from "../core/id.ts";
import type { Millis, Timestamp } from "../core/time.ts";
import { PoolScheduler } from "../scheduling/pool/pool_scheduler.ts";
import { CrashSuspects } from "./contents/crash_suspects.ts";
import { MemberTable } from "./members/member_table.ts";
import type { PeerCard, StoreProgress } from "./peers/peer_message.ts";
import type { RouteTable } from "./serving/route_table.ts";
import type { ConfigVersion } from "./serving/serving_config.ts";
import { UpstreamGate } from "./upstreams/upstream_gate.ts";
import {
  UpstreamTable,
  type UpstreamUpdate,
} from "./upstreams/upstream_table.ts";

const NEVER = -Infinity as Timestamp;

/** What a daemon knows of itself. */
export type SelfSection = {
  card: PeerCard;
  /** Peer addresses of daemons that may be asked for the others. */
  readonly seeds: readonly string[];
  drainingSince: Timestamp | undefined;
};

/** Written by the members controller. */
export type MembersSection = {
  readonly table: MemberTable;
  /** Who places for all. */
  leader: VmId;
  /** Who takes the leader's place, and knows all that it knows; absent in a system of one. */
  deputy: VmId | undefined;
  heartbeatMs: Millis;
};

/** Written by the serving controller. */
export type ServingSection = {
  routes: RouteTable | undefined;
  version: ConfigVersion;
  appliedAt: Timestamp;
  /** As of when the version is known to be the newest. */
  asOf: Timestamp;
};

/** Written by the register controller. */
export type RegisterSection = {
  readonly table: UpstreamTable;
  /** How far the register was read; -1 for not at all. */
  offset: number;
  /** How far it was read when the table last changed. */
  lastChangeOffset: number;
  /** As of when the table is known to be right. */
  asOf: Timestamp;
  /** What the last step has changed. */
  updates: readonly UpstreamUpdate[];
};

/** Written by the placement controller. */
export type PoolSection = {
  readonly scheduler: PoolScheduler;
};

/** Written by the availability controller. */
export type GateSection = {
  readonly closures: UpstreamGate;
};

/** Written by the content controller; placing a request may take a trial of a quarantined content. */
export type ContentSection = {
  readonly suspects: CrashSuspects;
};

/** The one place for the state of a daemon; each section has exactly one writer. */
export type GatewayBoard = Readonly<{
  self: SelfSection;
  members: MembersSection;
  serving: ServingSection;
  register: RegisterSection;
  gate: GateSection;
  contents: ContentSection;
  pool: PoolSection;
}>;

/** Builds the board of a daemon that has just started. */
export function createGatewayBoard(
  card: PeerCard,
  seeds: readonly string[],
): GatewayBoard {
  return {
    self: { card, seeds, drainingSince: undefined },
    members: {
      table: MemberTable.create(card.vm),
      leader: card.vm,
      deputy: undefined,
      heartbeatMs: 0,
    },
    serving: {
      routes: undefined,
      version: 0 as ConfigVersion,
      appliedAt: NEVER,
      asOf: NEVER,
    },
    register: {
      table: UpstreamTable.create(),
      offset: -1,
      lastChangeOffset: -1,
      asOf: NEVER,
      updates: [],
    },
    gate: { closures: UpstreamGate.create() },
    contents: { suspects: CrashSuspects.create() },
    pool: { scheduler: PoolScheduler.create() },
  };
}

/** Oldest age that is told; a table that was never read has it. */
const MAX_REPORTED_AGE_MS: Millis = 1e9;

/** How much this daemon knows of what the store holds. */
export function storeProgressOf(
  board: GatewayBoard,
  now: Timestamp,
): StoreProgress {
  const { serving, register } = board;
  return {
    version: serving.version,
    versionAgeMs: ageOf(serving.asOf, now),
    offset: register.offset,
    ageMs: ageOf(register.asOf, now),
  };
}

function ageOf(asOf: Timestamp, now: Timestamp): Millis {
  return Math.min(MAX_REPORTED_AGE_MS, Math.max(0, now - asOf));
}
